package route

import (
	"net"
	"sort"
	"strings"
)

// Index finds the routes, workspaces and services of a Config; it is immutable.
type Index struct {
	// Config is the configuration that is indexed.
	Config Config

	hosts    map[string][]*Route
	keys     map[string]*Workspace
	services map[string]*Service
}

// New returns the Index of a configuration.
func New(config Config) *Index {
	x := &Index{
		Config: config, hosts: make(map[string][]*Route),
		keys: make(map[string]*Workspace), services: make(map[string]*Service),
	}
	for i := range config.Routes {
		r := &config.Routes[i]
		host := strings.ToLower(r.Host)
		x.hosts[host] = append(x.hosts[host], r)
	}
	for _, routes := range x.hosts {
		sort.SliceStable(routes, func(i, j int) bool { return len(routes[i].Prefix) > len(routes[j].Prefix) })
	}
	for i := range config.Workspaces {
		for _, key := range config.Workspaces[i].Keys {
			x.keys[key] = &config.Workspaces[i]
		}
	}
	for i := range config.Services {
		x.services[config.Services[i].Name] = &config.Services[i]
	}
	return x
}

// Match returns the host's route with the longest Prefix that the path begins with, and false if there is none. A port
// in host is ignored.
func (x *Index) Match(host, path string) (found *Route, ok bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range x.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// RequiresKeys reports whether the configuration has workspaces, so that callers need keys.
func (x *Index) RequiresKeys() bool { return len(x.Config.Workspaces) > 0 }

// Workspace returns the workspace that has the key, and false if there is none.
func (x *Index) Workspace(key string) (found *Workspace, ok bool) {
	found, ok = x.keys[key]
	return found, ok
}

// Service returns the service with the name, and false if there is none.
func (x *Index) Service(name string) (found *Service, ok bool) {
	found, ok = x.services[name]
	return found, ok
}

// Pick returns the name of the service for a request, by the weights of the route and a random number in [0, 1). It returns
// the last service if no weight is positive, and the empty string if the route has no services.
func (r *Route) Pick(random float64) string {
	total := 0
	for _, candidate := range r.Services {
		total += max(candidate.Weight, 0)
	}
	point := random * float64(total)
	for _, candidate := range r.Services {
		point -= float64(max(candidate.Weight, 0))
		if point < 0 {
			return candidate.Service
		}
	}
	if len(r.Services) == 0 {
		return ""
	}
	return r.Services[len(r.Services)-1].Service
}
