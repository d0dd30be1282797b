package control

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/drain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/health"
	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// reasonLeaving is the reason by which a backend server refuses work because it is leaving.
const reasonLeaving = "leaving"

// ServerReported tells that a backend server answered a status call.
type ServerReported struct {
	// Name is the name of the backend server.
	Name string
	// Status is the answer.
	Status engine.Status
	// Asked is the time at which the call was sent.
	Asked time.Time
	// At is the time of the answer.
	At time.Time
}

// ServerFailed tells that a status call failed or that a connection with traffic broke.
type ServerFailed struct {
	// Name is the name of the backend server.
	Name string
	// At is the time of the failure.
	At time.Time
}

// ServerRefused tells that a backend server refused a request.
type ServerRefused struct {
	// Name is the name of the backend server.
	Name string
	// Reason is the reason that the server gave.
	Reason string
	// Sent is the time at which the request was sent.
	Sent time.Time
	// At is the time of the refusal.
	At time.Time
}

// InstancesListed tells that the platform's list of instances and backend servers was read.
type InstancesListed struct {
	// Instances is the list.
	Instances []kv.Instance
	// Asked is the time at which the call was sent.
	Asked time.Time
	// At is the time of the answer.
	At time.Time
}

// servers is what the control goroutine keeps about the backend servers beyond the snapshot.
type servers struct {
	drains *drain.State
	health map[string]*health.State
	config health.Config
	// served holds for each name the time of the last successful traffic; traffic writes it.
	served sync.Map
}

func newServers(config Config) *servers {
	return &servers{
		drains: drain.New(drain.Config{Observer: config.Observer, Lag: config.ListLag}),
		health: make(map[string]*health.State),
		config: health.Defaults(),
	}
}

// Served tells that a backend server answered traffic; unlike an event it costs one atomic write.
func (c *Control) Served(name string, at time.Time) {
	last, ok := c.servers.served.Load(name)
	if !ok {
		last, _ = c.servers.served.LoadOrStore(name, new(atomic.Int64))
	}
	last.(*atomic.Int64).Store(at.UnixNano())
}

// lastServed returns the time of the last successful traffic, or zero.
func (s *servers) lastServed(name string) time.Time {
	if last, ok := s.served.Load(name); ok {
		return time.Unix(0, last.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// Refused tells that a backend server refused a request that was sent at the time.
func (c *Control) Refused(ctx context.Context, name, reason string, sent time.Time) {
	c.Send(ctx, ServerRefused{Name: name, Reason: reason, Sent: sent, At: time.Now()})
}

// list takes the backend servers of the tables into the snapshot.
func (c *Control) list(next *Snapshot) {
	leaving := make(map[string]bool)
	known := next.Servers
	next.Servers = make(map[string]*chain.Server)
	next.Reports++
	for _, pool := range next.Tables.Pools {
		for _, row := range pool.Servers {
			leaving[row.Name] = leaving[row.Name] || row.Leaving
			server := new(chain.Server)
			if before := known[row.Name]; before != nil {
				*server = *before
			}
			server.Name, server.Address, server.Zone = row.Name, row.Address, row.Zone
			next.Servers[row.Name] = server
			if c.servers.health[row.Name] == nil {
				c.servers.health[row.Name] = new(health.State)
			}
		}
	}
	maps.DeleteFunc(c.servers.health, func(name string, _ *health.State) bool {
		_, listed := next.Servers[name]
		return !listed
	})
	c.servers.drains.Tabled(leaving, time.Now())
	c.judge(next, slices.Collect(maps.Keys(leaving))...)
}

// usable reports whether the backend server takes new work.
func (c *Control) usable(name string) bool {
	state := c.servers.health[name]
	_, leaving := c.servers.drains.Leaving(name)
	return state != nil && state.Healthy() && !leaving
}

// judge brings the snapshot up to date with what is known about the named backend servers.
func (c *Control) judge(next *Snapshot, names ...string) {
	var changed []*chain.Server
	for _, name := range names {
		server, ok := next.Servers[name]
		usable := c.usable(name)
		if !ok || usable == server.Usable {
			continue
		}
		judged := *server
		judged.Usable = usable
		changed = append(changed, &judged)
		c.tellUsable(name, usable)
	}
	next.replace(changed...)
}

// Usable reports whether the backend server is listed and takes new work.
func (s *Snapshot) Usable(name string) bool {
	server, ok := s.Servers[name]
	return ok && server.Usable
}

// replace puts other records of backend servers into the snapshot; readers keep the map that they have.
func (s *Snapshot) replace(servers ...*chain.Server) {
	if len(servers) == 0 {
		return
	}
	s.Servers = maps.Clone(s.Servers)
	for _, server := range servers {
		s.Servers[server.Name] = server
	}
	s.Reports++
}

// tellUsable logs a change, and hurries the news that a backend server is leaving.
func (c *Control) tellUsable(name string, usable bool) {
	source, leaving := c.servers.drains.Leaving(name)
	entry := c.log.WithField("server", name)
	switch {
	case usable:
		entry.Info("backend server takes new work")
	case leaving:
		c.hurry()
		entry.WithField("sign", source).Info("backend server is leaving and gets no new work")
	default:
		entry.Warn("backend server does not answer and gets no new work")
	}
}

func (e ServerReported) apply(c *Control, next *Snapshot) {
	server, ok := next.Servers[e.Name]
	if !ok {
		return
	}
	c.servers.drains.Answered(e.Name, e.Status.Leaving, e.Asked, e.At)
	c.servers.health[e.Name].Succeed(c.servers.config, e.At)
	reported := *server
	reported.Status, reported.ReportedAt, reported.Usable = e.Status, e.At, c.usable(e.Name)
	if reported.Usable != server.Usable {
		c.tellUsable(e.Name, reported.Usable)
	}
	next.replace(&reported)
}

func (e ServerFailed) apply(c *Control, next *Snapshot) {
	if state := c.servers.health[e.Name]; state != nil {
		state.Fail(c.servers.config, c.servers.lastServed(e.Name), e.At)
		c.judge(next, e.Name)
	}
}

func (e ServerRefused) apply(c *Control, next *Snapshot) {
	if e.Reason == reasonLeaving {
		c.servers.drains.Answered(e.Name, true, e.Sent, e.At)
		c.judge(next, e.Name)
	}
}

func (e InstancesListed) apply(c *Control, next *Snapshot) {
	c.servers.drains.Listed(e.Instances, e.Asked, e.At)
	for _, instance := range e.Instances {
		c.judge(next, instance.Name)
	}
}
