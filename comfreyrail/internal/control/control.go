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

// Snapshot is the state at one moment; it is immutable once it is published.
type Snapshot struct {
	// Tables is the generation of the tables that is in force.
	Tables *table.Tables
	// InForce is the generation in force with its manifest and encoded content, for peers to fetch.
	InForce *install.InForce
	// ConfigUnreadyReason is the reason why the configuration keeps the instance from being ready, or empty if it does
	// not.
	ConfigUnreadyReason string
	// Servers holds the state of each backend server that Tables lists, keyed by name.
	Servers map[string]*chain.Server
	// ServersRevision is the number of changes of Servers, so that readers detect a change without comparing the maps.
	ServersRevision uint64
	// Self is the record of this incarnation; its epoch is zero until the incarnation is registered in the store.
	Self member.Member
	// KnownInstances holds the record and state of every known instance, including this one and those that are dead or have
	// left, sorted by name.
	KnownInstances []gossip.Update
	// Probed reports whether every backend server has been probed or maxProbeWait has passed, so that requests can be
	// served.
	Probed bool
	// Stopping reports whether a graceful shutdown has begun; the instance is then not ready.
	Stopping bool
	// Superseded reports whether a later incarnation of this instance has been seen.
	Superseded bool
}

// UnreadyReason returns the reason why the instance is not ready, or an empty string if it is.
func (s *Snapshot) UnreadyReason() string {
	switch {
	case s.Stopping:
		return "the instance is stopping"
	case s.Superseded:
		return "a later incarnation of this instance is registered; stop one of them or give it another name"
	case s.ConfigUnreadyReason != "":
		return s.ConfigUnreadyReason
	case !s.Probed:
		return "the backend servers are being asked for their status"
	}
	return ""
}

// Event is a change of the state, applied by the control goroutine.
type Event interface {
	apply(c *Control, next *Snapshot)
}

// Control owns the state; Serve must run for events to take effect.
type Control struct {
	log     *logrus.Entry
	checker *invariant.Checker
	events  chan Event
	// installer decides which generation of the tables is put in force.
	installer *install.Installer
	// gossipNode tracks the members of the fleet; it is nil until this incarnation is registered.
	gossipNode *gossip.Node
	// membersRevision is the revision of gossipNode that Snapshot.KnownInstances was copied from.
	membersRevision uint64
	serverTracker   *serverTracker
	serverLeaving   chan struct{}
	// afterPublish holds the functions that are called after the next snapshot is published.
	afterPublish []func()
	// peerMarksHashes holds the hash of the marks in the last response of each heartbeat partner, keyed by name.
	peerMarksHashes map[string]uint64
	snapshot        atomic.Pointer[Snapshot]
}

// Config configures a Control.
type Config struct {
	// Log receives a warning when the configuration makes the instance unready, and a line for each generation put in
	// force and each backend server that becomes usable or unusable.
	Log *logrus.Entry
	// Checker counts and reports violated invariants.
	Checker *invariant.Checker
	// Observer identifies this incarnation in the marks of leaving backend servers that it sends to peers.
	Observer string
	// ListLag is the maximum lag of the platform's list of instances.
	ListLag time.Duration
}

// eventBuffer is the number of events that can be queued before Send blocks.
const eventBuffer = 256

// New returns a Control with empty tables.
func New(config Config) *Control {
	c := &Control{
		log: config.Log, checker: config.Checker, events: make(chan Event, eventBuffer),
		installer:       install.New(install.Config{Checker: config.Checker}),
		serverTracker:   newServerTracker(config),
		serverLeaving:   make(chan struct{}, 1),
		peerMarksHashes: make(map[string]uint64),
	}
	c.snapshot.Store(&Snapshot{
		Tables: &table.Tables{}, InForce: c.installer.InForce(), ConfigUnreadyReason: "starting", Servers: map[string]*chain.Server{},
	})
	return c
}

// Snapshot returns the last published state.
func (c *Control) Snapshot() *Snapshot { return c.snapshot.Load() }

// Send queues an event for the control goroutine; it blocks while the queue is full and drops the event if ctx ends.
func (c *Control) Send(ctx context.Context, event Event) {
	select {
	case c.events <- event:
	case <-ctx.Done():
	}
}

// Serve applies events and publishes a snapshot after each until ctx ends; it returns the error of ctx.
func (c *Control) Serve(ctx context.Context) error {
	for {
		select {
		case event := <-c.events:
			next := *c.snapshot.Load()
			event.apply(c, &next)
			c.snapshot.Store(&next)
			c.runAfterPublish()
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// deferUntilPublished registers f to be called once the snapshot of the current event is published, so that the receiver of
// a result that f sends also sees that snapshot.
func (c *Control) deferUntilPublished(f func()) { c.afterPublish = append(c.afterPublish, f) }

// runAfterPublish calls the deferred functions in order.
func (c *Control) runAfterPublish() {
	for _, f := range c.afterPublish {
		f()
	}
	c.afterPublish = c.afterPublish[:0]
}
