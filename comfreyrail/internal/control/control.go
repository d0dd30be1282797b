package control

import (
	"context"
	"maps"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/spread"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Snapshot is the state at one moment; nobody changes it after it is published.
type Snapshot struct {
	// Tables is the generation of the configuration that is in force.
	Tables *table.Tables
	// Servers holds what is known about each backend server, by name.
	Servers map[string]chain.Server
	// Self is the record of this incarnation; its epoch is zero before it is registered.
	Self member.Member
	// Fleet holds what is known about every instance, by name.
	Fleet []spread.Update
	// Superseded tells that a later incarnation of this instance is known.
	Superseded bool
}

// Event is a change to the state.
type Event interface {
	apply(c *Control, next *Snapshot)
}

// TablesRead tells that a generation of the tables was read.
type TablesRead struct {
	// Tables is the generation that was read.
	Tables *table.Tables
}

// ServerReported tells that a backend server answered a status call.
type ServerReported struct {
	// Name is the name of the backend server.
	Name string
	// Status is the answer.
	Status engine.Status
	// At is the time of the answer.
	At time.Time
}

// ServerFailed tells that a backend server did not answer a status call.
type ServerFailed struct {
	// Name is the name of the backend server.
	Name string
}

// Control owns the state; Serve must run for events to take effect.
type Control struct {
	log     *logrus.Entry
	checker *invariant.Checker
	events  chan Event
	peers   *spread.Node
	// published is the revision of peers that the snapshot holds.
	published uint64
	snapshot  atomic.Pointer[Snapshot]
}

// Config configures a Control.
type Config struct {
	// Log receives the log.
	Log *logrus.Entry
	// Checker counts violated invariants.
	Checker *invariant.Checker
}

// eventBuffer is the number of events that wait for the control goroutine.
const eventBuffer = 256

// New returns a Control with empty tables.
func New(config Config) *Control {
	c := &Control{log: config.Log, checker: config.Checker, events: make(chan Event, eventBuffer)}
	c.snapshot.Store(&Snapshot{Tables: &table.Tables{}, Servers: map[string]chain.Server{}})
	return c
}

// Snapshot returns the current state.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Send hands an event to the control goroutine.
func (c *Control) Send(ctx context.Context, event Event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// Serve applies events until the context ends.
func (c *Control) Serve(ctx context.Context) error {
	for {
		select {
		case event := <-c.events:
			next := *c.snapshot.Load()
			event.apply(c, &next)
			c.snapshot.Store(&next)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (e TablesRead) apply(c *Control, next *Snapshot) {
	if e.Tables.Generation <= next.Tables.Generation {
		return
	}
	if problems := e.Tables.Validate(); len(problems) > 0 {
		c.log.WithField("generation", e.Tables.Generation).Errorf("tables are invalid: %v", problems[0])
		return
	}
	next.Tables = e.Tables
	next.Servers = listed(e.Tables, next.Servers)
	c.log.WithField("generation", e.Tables.Generation).Info("tables are in force")
}

// listed returns the backend servers that the tables list, with what was known about them.
func listed(tables *table.Tables, known map[string]chain.Server) map[string]chain.Server {
	servers := make(map[string]chain.Server)
	for _, pool := range tables.Pools {
		for _, row := range pool.Servers {
			server := known[row.Name]
			server.Name, server.Address, server.Zone = row.Name, row.Address, row.Zone
			server.Usable = server.Usable && !row.Leaving
			servers[row.Name] = server
		}
	}
	return servers
}

func (e ServerReported) apply(_ *Control, next *Snapshot) {
	server, ok := next.Servers[e.Name]
	if !ok {
		return
	}
	server.Status, server.ReportedAt = e.Status, e.At
	server.Usable = !e.Status.Leaving && !leaving(next.Tables, e.Name)
	next.Servers = maps.Clone(next.Servers)
	next.Servers[e.Name] = server
}

// leaving reports whether the tables mark the backend server as leaving.
func leaving(tables *table.Tables, name string) bool {
	for _, pool := range tables.Pools {
		for _, server := range pool.Servers {
			if server.Name == name && server.Leaving {
				return true
			}
		}
	}
	return false
}

func (e ServerFailed) apply(_ *Control, next *Snapshot) {
	server, ok := next.Servers[e.Name]
	if !ok {
		return
	}
	server.Usable = false
	next.Servers = maps.Clone(next.Servers)
	next.Servers[e.Name] = server
}
