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
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// reasonLeaving is the reason by which a backend server refuses work because it is leaving.
const reasonLeaving = "leaving"

// ServerReported tells that a backend server answered a status call.
type ServerReported struct {
	// Name is the name of the backend server.
	Name string
	// Status is the answer.
	Status engine.Status
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time of the answer.
	At time.Time
}

// ServerFailed tells that a call that every backend server answers at once failed.
type ServerFailed struct {
	// Name is the name of the backend server.
	Name string
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time of the failure.
	At time.Time
}

// ServerRefused tells that a backend server refused a request because it is leaving.
type ServerRefused struct {
	// Address is the host and port of the backend server.
	Address string
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	// At is the time of the refusal.
	At time.Time
}

// InstanceListRead tells that the platform's list of instances and backend servers was read.
type InstanceListRead struct {
	// Instances is the list.
	Instances []kv.ListEntry
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time of the answer.
	At time.Time
}

// probeTime is the time after which an instance is ready although it has not asked every backend server.
const probeTime = 3 * time.Second

// servers is what the control goroutine keeps about the backend servers beyond the snapshot.
type servers struct {
	drains *drain.Tracker
	health map[string]*health.State
	config health.Config
	// listedAt is the time at which the first tables came in force.
	listedAt time.Time
	// served holds for each address the time of the last successful traffic; traffic writes it.
	served sync.Map
}

func newServers(config Config) *servers {
	return &servers{
		drains: drain.New(drain.Config{Observer: config.Observer, ListLag: config.ListLag}),
		health: make(map[string]*health.State),
		config: health.DefaultConfig(),
	}
}

// RecordSuccess tells that the backend server at the address answered traffic; unlike an event it costs one atomic write.
func (c *Control) RecordSuccess(address string, at time.Time) {
	last, ok := c.servers.served.Load(address)
	if !ok {
		last, _ = c.servers.served.LoadOrStore(address, new(atomic.Int64))
	}
	last.(*atomic.Int64).Store(at.UnixNano())
}

// lastServed returns the time of the last successful traffic, or zero.
func (s *servers) lastServed(address string) time.Time {
	if last, ok := s.served.Load(address); ok {
		return time.Unix(0, last.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// ReportRefusal tells that the backend server at the address refused a request that was sent at the time.
func (c *Control) ReportRefusal(ctx context.Context, address, reason string, sent time.Time) {
	if reason == reasonLeaving {
		c.Send(ctx, ServerRefused{Address: address, SentAt: sent, At: time.Now()})
	}
}

// list takes the backend servers of the tables into the snapshot.
func (c *Control) list(next *Snapshot) {
	leaving := make(map[string]bool)
	known := next.Servers
	next.Servers = make(map[string]*chain.Server)
	next.ServersRevision++
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
	now := time.Now()
	if c.servers.listedAt.IsZero() {
		c.servers.listedAt = now
	}
	c.servers.drains.ApplyTables(leaving, now)
	c.markProbed(next, now)
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

// AppendServers appends what is known about the backend servers of the pool, in the order of its row.
func (s *Snapshot) AppendServers(servers []chain.Server, pool table.Pool) []chain.Server {
	for _, row := range pool.Servers {
		if server, ok := s.Servers[row.Name]; ok {
			servers = append(servers, *server)
		}
	}
	return servers
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
	s.ServersRevision++
}

// markProbed notes in the snapshot that the backend servers have been asked; it stays so.
func (c *Control) markProbed(next *Snapshot, now time.Time) {
	if next.Probed || now.Sub(c.servers.listedAt) < probeTime && !c.allKnown() {
		return
	}
	next.Probed = true
}

func (c *Control) allKnown() bool {
	for _, state := range c.servers.health {
		if !state.Known() {
			return false
		}
	}
	return true
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
	c.servers.drains.ApplyAnswer(e.Name, e.Status.Leaving, e.SentAt, e.At)
	c.servers.health[e.Name].RecordSuccess(c.servers.config, e.At)
	reported := *server
	reported.Status, reported.ReportedAt, reported.Usable = e.Status, e.At, c.usable(e.Name)
	if reported.Usable != server.Usable {
		c.tellUsable(e.Name, reported.Usable)
	}
	next.replace(&reported)
	c.markProbed(next, e.At)
}

func (e ServerFailed) apply(c *Control, next *Snapshot) {
	if state := c.servers.health[e.Name]; state != nil {
		state.RecordFailure(c.servers.config, e.SentAt, c.servers.lastServed(next.Servers[e.Name].Address), e.At)
		c.judge(next, e.Name)
		c.markProbed(next, e.At)
	}
}

func (e ServerRefused) apply(c *Control, next *Snapshot) {
	for name, server := range next.Servers {
		if server.Address == e.Address {
			c.servers.drains.ApplyAnswer(name, true, e.SentAt, e.At)
			c.judge(next, name)
		}
	}
}

// audit checks that traffic sees no leaving backend server as usable, and takes it away if it does.
func (c *Control) audit(next *Snapshot) {
	for name, server := range next.Servers {
		source, leaving := c.servers.drains.Leaving(name)
		if c.checker.Check(!leaving || !server.Usable, "leaving", "server %q is usable against the sign by its %s", name, source) != nil {
			c.judge(next, name)
		}
	}
}

func (e InstanceListRead) apply(c *Control, next *Snapshot) {
	c.audit(next)
	c.servers.drains.ApplyList(e.Instances, e.SentAt, e.At)
	for _, instance := range e.Instances {
		c.judge(next, instance.Name)
	}
}
