package control

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Snapshot is the state at one moment; nobody changes it after it is published.
type Snapshot struct {
	// Tables is the generation of the configuration that is in force.
	Tables *table.Tables
	// InForce holds the encoded content of Tables.
	InForce *install.InForce
	// Obstacle says why the configuration keeps the instance from taking requests, empty if it does not.
	Obstacle string
	// Servers holds what is known about each backend server, by name.
	Servers map[string]*chain.Server
	// ServersRevision counts the changes of Servers, so that a reader notices one without comparing them.
	ServersRevision uint64
	// Self is the record of this incarnation; its epoch is zero before it is registered.
	Self member.Member
	// Fleet holds what is known about every instance, by name.
	Fleet []gossip.Update
	// Probed tells that the backend servers have been asked for their status, so that requests can be served.
	Probed bool
	// Stopping tells that the instance stops as planned and takes no new connections.
	Stopping bool
	// Superseded tells that a later incarnation of this instance is known.
	Superseded bool
}

// UnreadyReason returns why the instance takes no requests, empty if it does.
func (s *Snapshot) UnreadyReason() string {
	switch {
	case s.Stopping:
		return "the instance is stopping"
	case s.Superseded:
		return "a later incarnation of this instance is registered; stop one of them or give it another name"
	case s.Obstacle != "":
		return s.Obstacle
	case !s.Probed:
		return "the backend servers are being asked for their status"
	}
	return ""
}

// Event is a change to the state.
type Event interface {
	apply(c *Control, next *Snapshot)
}

// Control owns the state; Serve must run for events to take effect.
type Control struct {
	log     *logrus.Entry
	checker *invariant.Checker
	events  chan Event
	// installer decides which generation of the tables is in force.
	installer *install.Installer
	peers     *gossip.Node
	// published is the revision of peers that the snapshot holds.
	published uint64
	servers   *servers
	urgent    chan struct{}
	// answers are kept until the next snapshot is published.
	answers []func()
	// shown holds the hash of the marks that each partner has shown last.
	shown    map[string]uint64
	snapshot atomic.Pointer[Snapshot]
}

// Config configures a Control.
type Config struct {
	// Log receives the log.
	Log *logrus.Entry
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Observer identifies this incarnation in the marks that it gives to peers.
	Observer string
	// ListLag is the greatest lag of the platform's list of instances.
	ListLag time.Duration
}

// eventBuffer is the number of events that wait for the control goroutine.
const eventBuffer = 256

// New returns a Control with empty tables.
func New(config Config) *Control {
	c := &Control{
		log: config.Log, checker: config.Checker, events: make(chan Event, eventBuffer),
		installer: install.New(install.Config{Checker: config.Checker}),
		servers:   newServers(config),
		urgent:    make(chan struct{}, 1),
		shown:     make(map[string]uint64),
	}
	c.snapshot.Store(&Snapshot{
		Tables: &table.Tables{}, InForce: c.installer.InForce(), Obstacle: "starting", Servers: map[string]*chain.Server{},
	})
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
			c.reply()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// afterwards keeps an answer until the snapshot that the event led to is published, so that whoever gets it sees both.
func (c *Control) afterwards(answer func()) { c.answers = append(c.answers, answer) }

// reply gives the answers that were kept.
func (c *Control) reply() {
	for _, answer := range c.answers {
		answer()
	}
	c.answers = c.answers[:0]
}
