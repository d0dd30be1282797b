package table

import (
	"cmp"
	"slices"
	"strings"
	"time"
)

// PoolKind is the kind of the backend servers of a pool.
type PoolKind string

const (
	// ModelPool is the kind of a pool whose backend servers are model engines that hold ranges of layers.
	ModelPool PoolKind = "model"
	// PlainPool is the kind of a pool whose backend servers are plain HTTP services.
	PlainPool PoolKind = "plain"
)

// Route is a row of the table of routes; it selects the pool and the options for the requests that it matches.
type Route struct {
	// Name identifies the route.
	Name string `cbor:"1,keyasint,omitempty" toml:"name" json:"name"`
	// Model matches the model field of completion requests; empty for plain routes.
	Model string `cbor:"2,keyasint,omitempty" toml:"model,omitempty" json:"model,omitempty"`
	// Prefix matches the path of plain requests; empty for model routes.
	Prefix string `cbor:"3,keyasint,omitempty" toml:"prefix,omitempty" json:"prefix,omitempty"`
	// Workspaces limits the route to these workspaces; empty matches all.
	Workspaces []string `cbor:"4,keyasint,omitempty" toml:"workspaces,omitempty" json:"workspaces,omitempty"`
	// Pool is the name of the pool that serves the route.
	Pool string `cbor:"5,keyasint,omitempty" toml:"pool" json:"pool"`
	// Priority orders requests under load: 0 is the least and MaxPriority the most urgent.
	Priority int `cbor:"6,keyasint,omitempty" toml:"priority,omitempty" json:"priority,omitempty"`
	// Idempotent reports whether repeating a request of the route has no further effect.
	Idempotent bool `cbor:"7,keyasint,omitempty" toml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// TimeoutMS is the longest time that a request may take, in milliseconds; zero means DefaultTimeout.
	TimeoutMS int `cbor:"8,keyasint,omitempty" toml:"deadline_ms,omitempty" json:"deadline_ms,omitempty"`
	// Version is the generation in which the row last changed.
	Version uint64 `cbor:"9,keyasint,omitempty" toml:"version,omitempty" json:"version,omitempty"`
}

// MaxPriority is the most urgent priority of a route; it equals admit.NumPriorities-1.
const MaxPriority = 9

// DefaultTimeout is the longest time that a request may take if its route sets none.
const DefaultTimeout = 2 * time.Minute

// Timeout returns the longest time that a request of the route may take.
func (r Route) Timeout() time.Duration {
	if r.TimeoutMS == 0 {
		return DefaultTimeout
	}
	return time.Duration(r.TimeoutMS) * time.Millisecond
}

// Server is a backend server in a pool, which operations address as a row of type ServerRow.
type Server struct {
	// Name identifies the backend server; it refers to the same one in every pool.
	Name string `cbor:"1,keyasint,omitempty" toml:"name" json:"name"`
	// Address is the host:port of the backend server.
	Address string `cbor:"2,keyasint,omitempty" toml:"address" json:"address"`
	// Zone is the availability zone of the backend server.
	Zone string `cbor:"3,keyasint,omitempty" toml:"zone" json:"zone"`
	// Leaving reports whether the backend server is leaving and gets no new work.
	Leaving bool `cbor:"4,keyasint,omitempty" toml:"leaving,omitempty" json:"leaving,omitempty"`
	// Version is the generation in which the server's row last changed.
	Version uint64 `cbor:"5,keyasint,omitempty" toml:"version,omitempty" json:"version,omitempty"`
}

// Pool is a row of the table of pools: a group of backend servers of one kind.
type Pool struct {
	// Name identifies the pool.
	Name string `cbor:"1,keyasint,omitempty" toml:"name" json:"name"`
	// Kind is ModelPool or PlainPool.
	Kind PoolKind `cbor:"2,keyasint,omitempty" toml:"kind" json:"kind"`
	// Layers is the number of layers of the model; zero for plain pools.
	Layers int `cbor:"3,keyasint,omitempty" toml:"layers,omitempty" json:"layers,omitempty"`
	// Servers lists the backend servers of the pool.
	Servers []Server `cbor:"4,keyasint,omitempty" toml:"servers" json:"servers"`
	// Version is the generation in which the row or one of its backend servers last changed.
	Version uint64 `cbor:"5,keyasint,omitempty" toml:"version,omitempty" json:"version,omitempty"`
}

// Tables is one generation of both tables.
type Tables struct {
	// Generation is the number of accepted edits, so a greater one is newer. In a file it is the generation that the file
	// was made from.
	Generation uint64 `toml:"generation,omitempty" json:"generation"`
	// Routes is the table of routes.
	Routes []Route `toml:"routes" json:"routes"`
	// Pools is the table of pools.
	Pools []Pool `toml:"pools" json:"pools"`
}

// Sorted returns a copy whose rows and backend servers are sorted by name, as Find requires.
func (t *Tables) Sorted() *Tables {
	sorted := t.copyWithSortedRows()
	for i := range sorted.Pools {
		pool := &sorted.Pools[i]
		pool.Servers = slices.Clone(pool.Servers)
		slices.SortStableFunc(pool.Servers, func(a, b Server) int { return cmp.Compare(a.Name, b.Name) })
	}
	return sorted
}

// PoolByName returns the pool with the name and reports whether it exists. The rows need not be sorted.
func (t *Tables) PoolByName(name string) (Pool, bool) {
	for _, pool := range t.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return Pool{}, false
}

// MatchModel returns the route for a completion request, and prefers a route limited to the workspace to one for all workspaces.
func (t *Tables) MatchModel(model, workspace string) (found Route, ok bool) {
	for _, route := range t.Routes {
		if route.Model == "" || route.Model != model || !route.matchesWorkspace(workspace) {
			continue
		}
		if !ok || len(route.Workspaces) > len(found.Workspaces) {
			found, ok = route, true
		}
	}
	return found, ok
}

// MatchPath returns the route with the longest matching prefix for a plain request. Among equal
// prefixes it prefers a route limited to the workspace to one for all workspaces.
func (t *Tables) MatchPath(path, workspace string) (found Route, ok bool) {
	for _, route := range t.Routes {
		if route.Prefix == "" || !strings.HasPrefix(path, route.Prefix) || !route.matchesWorkspace(workspace) {
			continue
		}
		longer := len(route.Prefix) > len(found.Prefix)
		moreSpecific := len(route.Prefix) == len(found.Prefix) && len(found.Workspaces) == 0
		if !ok || longer || moreSpecific {
			found, ok = route, true
		}
	}
	return found, ok
}

// matchesWorkspace reports whether the route serves requests of the workspace.
func (r Route) matchesWorkspace(workspace string) bool {
	if len(r.Workspaces) == 0 {
		return true
	}
	for _, name := range r.Workspaces {
		if name == workspace {
			return true
		}
	}
	return false
}
