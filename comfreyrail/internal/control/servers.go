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

// reasonLeaving is the reason that a leaving backend server gives when it refuses a request.
const reasonLeaving = "leaving"

// ServerReported is sent when a backend server has responded to a probe.
type ServerReported struct {
	// Name is the name of the backend server.
	Name string
	// Status is the response.
	Status engine.Status
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time at which the response arrived.
	At time.Time
}

// ServerFailed is sent when a probe of the status has failed or timed out, or when a probe of the progress of a stage has
// failed before its timeout; a healthy backend server responds to both immediately.
type ServerFailed struct {
	// Name is the name of the backend server.
	Name string
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time of the failure.
	At time.Time
}

// ServerRefused is sent when a backend server has refused a request because it is leaving.
type ServerRefused struct {
	// Address is the host and port of the backend server.
	Address string
	// SentAt is the time at which the request was sent.
	SentAt time.Time
	// At is the time of the refusal.
	At time.Time
}

// InstanceListRead is sent when the platform's list of instances and backend servers has been read.
type InstanceListRead struct {
	// Entries are the entries of the list, for instances and backend servers.
	Entries []kv.ListEntry
	// SentAt is the time at which the call was sent.
	SentAt time.Time
	// At is the time at which the response arrived.
	At time.Time
}

// maxProbeWait is the time since the first tables came into force from which Snapshot.Probed is set even if some
// backend servers have not been probed.
const maxProbeWait = 3 * time.Second

// serverTracker holds the state of the backend servers that is not part of the snapshot.
type serverTracker struct {
	drains       *drain.Tracker
	health       map[string]*health.State
	healthConfig health.Config
	// firstTablesAt is the time at which the first tables came into force.
	firstTablesAt time.Time
	// servedTimes maps each address to an *atomic.Int64, the Unix time in nanoseconds of the last request that the
	// server served. The goroutines that serve requests write it.
	servedTimes sync.Map
}

func newServerTracker(config Config) *serverTracker {
	return &serverTracker{
		drains:       drain.New(drain.Config{Observer: config.Observer, ListLag: config.ListLag}),
		health:       make(map[string]*health.State),
		healthConfig: health.DefaultConfig(),
	}
}

// RecordServed records that the backend server at the address responded to a request at the given time.
//
// It costs one atomic write, which is cheaper than an event.
func (c *Control) RecordServed(address string, at time.Time) {
	last, ok := c.serverTracker.servedTimes.Load(address)
	if !ok {
		last, _ = c.serverTracker.servedTimes.LoadOrStore(address, new(atomic.Int64))
	}
	last.(*atomic.Int64).Store(at.UnixNano())
}

// lastServed returns the time of the last request that the server at the address served, or the zero time if there was
// none.
func (s *serverTracker) lastServed(address string) time.Time {
	if last, ok := s.servedTimes.Load(address); ok {
		return time.Unix(0, last.(*atomic.Int64).Load())
	}
	return time.Time{}
}

// ReportRefusal reports that the backend server at the address refused a request that was sent at sentAt; it ignores
// all reasons other than that the server is leaving.
func (c *Control) ReportRefusal(ctx context.Context, address, reason string, sentAt time.Time) {
	if reason == reasonLeaving {
		c.Send(ctx, ServerRefused{Address: address, SentAt: sentAt, At: time.Now()})
	}
}

// updateServers replaces the backend servers in next by those that its tables list, and keeps the state of those that
// were listed before.
func (c *Control) updateServers(next *Snapshot) {
	leaving := make(map[string]bool)
	previous := next.Servers
	next.Servers = make(map[string]*chain.Server)
	next.ServersRevision++
	for _, pool := range next.Tables.Pools {
		for _, row := range pool.Servers {
			leaving[row.Name] = leaving[row.Name] || row.Leaving
			server := new(chain.Server)
			if old := previous[row.Name]; old != nil {
				*server = *old
			}
			server.Name, server.Address, server.Zone = row.Name, row.Address, row.Zone
			next.Servers[row.Name] = server
			if c.serverTracker.health[row.Name] == nil {
				c.serverTracker.health[row.Name] = new(health.State)
			}
		}
	}
	maps.DeleteFunc(c.serverTracker.health, func(name string, _ *health.State) bool {
		_, listed := next.Servers[name]
		return !listed
	})
	now := time.Now()
	if c.serverTracker.firstTablesAt.IsZero() {
		c.serverTracker.firstTablesAt = now
	}
	c.serverTracker.drains.ApplyTables(leaving, now)
	c.updateProbed(next, now)
	c.updateUsable(next, slices.Collect(maps.Keys(leaving))...)
}

// usable reports whether the backend server is healthy and not leaving, so that it may be sent new requests.
func (c *Control) usable(name string) bool {
	state := c.serverTracker.health[name]
	_, leaving := c.serverTracker.drains.Leaving(name)
	return state != nil && state.Healthy() && !leaving
}

// updateUsable updates the field Usable of the named backend servers in next.
func (c *Control) updateUsable(next *Snapshot, names ...string) {
	var changed []*chain.Server
	for _, name := range names {
		server, ok := next.Servers[name]
		usable := c.usable(name)
		if !ok || usable == server.Usable {
			continue
		}
		updated := *server
		updated.Usable = usable
		changed = append(changed, &updated)
		c.handleUsableChange(name, usable)
	}
	next.replace(changed...)
}

// Usable reports whether the backend server is listed, healthy and not leaving.
func (s *Snapshot) Usable(name string) bool {
	server, ok := s.Servers[name]
	return ok && server.Usable
}

// AppendServers appends the state of the backend servers of the pool to servers, in the order of the pool's row.
func (s *Snapshot) AppendServers(servers []chain.Server, pool table.Pool) []chain.Server {
	for _, row := range pool.Servers {
		if server, ok := s.Servers[row.Name]; ok {
			servers = append(servers, *server)
		}
	}
	return servers
}

// replace sets s.Servers to a copy of the map with the given servers replaced; the previous map is not changed, since
// earlier snapshots share it.
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

// updateProbed sets Probed once every listed backend server has been probed or maxProbeWait has passed; it is never
// reset.
func (c *Control) updateProbed(next *Snapshot, now time.Time) {
	if next.Probed || now.Sub(c.serverTracker.firstTablesAt) < maxProbeWait && !c.allProbed() {
		return
	}
	next.Probed = true
}

func (c *Control) allProbed() bool {
	for _, state := range c.serverTracker.health {
		if !state.Probed() {
			return false
		}
	}
	return true
}

// handleUsableChange logs that a server has become usable or unusable, and signals ServerLeaving if it is leaving.
func (c *Control) handleUsableChange(name string, usable bool) {
	source, leaving := c.serverTracker.drains.Leaving(name)
	entry := c.log.WithField("server", name)
	switch {
	case usable:
		entry.Info("backend server is usable")
	case leaving:
		c.signalServerLeaving()
		entry.WithField("sign", source).Info("backend server is leaving and gets no new requests")
	default:
		entry.Warn("backend server is unhealthy and gets no new requests")
	}
}

func (e ServerReported) apply(c *Control, next *Snapshot) {
	server, ok := next.Servers[e.Name]
	if !ok {
		return
	}
	c.serverTracker.drains.ApplyResponse(e.Name, e.Status.Leaving, e.SentAt, e.At)
	c.serverTracker.health[e.Name].RecordSuccess(c.serverTracker.healthConfig, e.At)
	updated := *server
	updated.Status, updated.ReportedAt, updated.Usable = e.Status, e.At, c.usable(e.Name)
	if updated.Usable != server.Usable {
		c.handleUsableChange(e.Name, updated.Usable)
	}
	next.replace(&updated)
	c.updateProbed(next, e.At)
}

func (e ServerFailed) apply(c *Control, next *Snapshot) {
	if state := c.serverTracker.health[e.Name]; state != nil {
		state.RecordFailure(c.serverTracker.healthConfig, e.SentAt, c.serverTracker.lastServed(next.Servers[e.Name].Address), e.At)
		c.updateUsable(next, e.Name)
		c.updateProbed(next, e.At)
	}
}

func (e ServerRefused) apply(c *Control, next *Snapshot) {
	for name, server := range next.Servers {
		if server.Address == e.Address {
			c.serverTracker.drains.ApplyResponse(name, true, e.SentAt, e.At)
			c.updateUsable(next, name)
		}
	}
}

// checkLeaving checks that no leaving backend server is usable in the snapshot, and sets Usable to false
// for one that is.
func (c *Control) checkLeaving(next *Snapshot) {
	for name, server := range next.Servers {
		source, leaving := c.serverTracker.drains.Leaving(name)
		if c.checker.Check(!leaving || !server.Usable, "leaving", "server %q is usable although it is leaving according to source %q", name, source) != nil {
			c.updateUsable(next, name)
		}
	}
}

func (e InstanceListRead) apply(c *Control, next *Snapshot) {
	c.checkLeaving(next)
	c.serverTracker.drains.ApplyList(e.Entries, e.SentAt, e.At)
	for _, entry := range e.Entries {
		c.updateUsable(next, entry.Name)
	}
}
