package catalog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Keys of the fleet's own items.
const (
	// Root is the parent of all items that instances write.
	Root = "comfreyrail/"
	// InstancePrefix is the parent of the records of the live instances.
	InstancePrefix = Root + "instance/"
	// PlacerKey is the item of the instance that places layers.
	PlacerKey = Root + "placer"
)

// Times of reading the store.
const (
	// callTimeout is the longest time for an answer beside the time that a watch may wait.
	callTimeout = 1500 * time.Millisecond
	// retryPause is the time between failed calls.
	retryPause = 250 * time.Millisecond
	// askTimeout is the longest time for another instance's answer.
	askTimeout = 300 * time.Millisecond
	// unheardTime is how long an instance that had no news is not asked again.
	unheardTime = 4 * time.Second
	// freshMargin is how much older than the pace another instance's word may be.
	freshMargin = 600 * time.Millisecond
	// directPause is the least time for which an instance that another one reads for leaves a failed store alone.
	directPause = 1500 * time.Millisecond
	// directShare is that time for each instance of the fleet, so that all together call at a bounded rate.
	directShare = 40 * time.Millisecond
	// lapseTime is how long after the store's return an entry may take to come back.
	lapseTime = 2500 * time.Millisecond
)

// Config configures a Catalog.
type Config struct {
	// Range reads items.
	Range func(ctx context.Context, prefix, after string) (store.Page, error)
	// Watch waits for changes.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error)
	// FetchChanges returns what another instance knows that changed after a revision.
	FetchChanges func(ctx context.Context, address string, after uint64) (Changes, error)
	// Self is the record of this instance.
	Self Instance
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// DecodeConfig reads the configuration.
	DecodeConfig func(value []byte) (route.Config, error)
	// ServerID returns the backend server whose entry lies under a key.
	ServerID func(key string) (string, bool)
	// DecodeServer reads the entry of a backend server.
	DecodeServer func(id string, value []byte) (backend.Server, error)
	// WatchInterval is the least time between two watches.
	WatchInterval time.Duration
	// Random draws numbers in [0, 1); nil takes the global source.
	Random func() float64
	// Elapsed is a clock that goes on while the machine is suspended.
	Elapsed func() time.Duration
	// Log receives the log.
	Log *logrus.Entry
}

// Snapshot is what the catalog knew at one moment.
type Snapshot struct {
	// Table is the configuration, nil until one is known.
	Table *route.Table
	// Servers lists the backend servers of each service.
	Servers map[string][]backend.Server
	// Instances lists the live instances, the own one too once the store lists it.
	Instances []Instance
	// Placer is the item of the instance that places layers; its revision is zero if there is none.
	Placer store.Item
	// Sequence counts the snapshots.
	Sequence uint64
}

// Catalog reads the store, or asks an instance that does.
type Catalog struct {
	config    Config
	published atomic.Pointer[Snapshot]
	confirmed atomic.Int64
	log       changeLog

	revision  uint64
	table     *route.Table
	servers   map[string]backend.Server
	lapsed    map[string]time.Duration
	malformed map[string]bool // entries that were logged as naming no server
	instances map[string]Instance
	placer    store.Item
	changed   bool
	connected bool
	outage    bool
	regained  time.Duration
	failedAt  time.Duration            // when the store last failed to answer, zero if it answered
	unheard   map[string]time.Duration // until when instances without news are not asked
}

// New returns a Catalog that knows nothing.
func New(config Config) *Catalog {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	c := &Catalog{
		config: config, servers: make(map[string]backend.Server), lapsed: make(map[string]time.Duration), malformed: make(map[string]bool),
		instances: make(map[string]Instance), unheard: make(map[string]time.Duration), log: newChangeLog(),
	}
	c.confirmed.Store(-1)
	c.publish()
	return c
}

// Snapshot returns what is known now.
func (c *Catalog) Snapshot() *Snapshot { return c.published.Load() }

// Age returns the time since the configuration was last confirmed by the store, and false if it never was.
func (c *Catalog) Age() (age time.Duration, ok bool) {
	at := c.confirmed.Load()
	if at < 0 {
		return 0, false
	}
	return c.config.Elapsed() - time.Duration(at), true
}

// Serve reads the store until the context ends.
func (c *Catalog) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		began := c.config.Elapsed()
		age, err := c.step(ctx)
		rest := c.config.WatchInterval - (c.config.Elapsed() - began)
		switch {
		case err == nil:
			c.reached(began - age)
		case errors.Is(err, store.ErrCompacted):
			c.config.Log.WithError(err).Info("the store's history is gone: reading everything again")
			c.revision = 0
			rest = 0
		case errors.Is(err, errLater):
			rest = retryPause
		default:
			c.lost(ctx, err)
			rest = retryPause
		}
		c.expire()
		_ = pause.For(ctx, rest)
	}
	return ctx.Err()
}

// reached notes that what is known is what the store held at the time.
func (c *Catalog) reached(confirmed time.Duration) {
	c.confirmed.Store(max(c.confirmed.Load(), int64(confirmed)))
	if !c.connected {
		c.connected = true
		c.regained = c.config.Elapsed()
		for id := range c.lapsed {
			c.lapsed[id] = c.regained + lapseTime
		}
		c.config.Log.WithField("revision", c.revision).Info("the store answers")
	}
}

// lost notes that a call failed.
func (c *Catalog) lost(ctx context.Context, err error) {
	if c.connected && ctx.Err() == nil {
		c.connected, c.outage = false, true
		c.config.Log.WithError(err).Warn("the store does not answer")
	}
}

// Changes returns what changed after a revision, for another instance.
func (c *Catalog) Changes(after uint64) (changes Changes, ok bool) {
	age, ok := c.Age()
	if !ok {
		return changes, false
	}
	changes = c.log.since(after)
	changes.Age = age
	return changes, changes.Revision > 0
}

// publish makes a snapshot of the state.
func (c *Catalog) publish() {
	snapshot := &Snapshot{
		Table: c.table, Servers: make(map[string][]backend.Server), Placer: c.placer,
	}
	if last := c.published.Load(); last != nil {
		snapshot.Sequence = last.Sequence + 1
	}
	for _, instance := range c.instances {
		snapshot.Instances = append(snapshot.Instances, instance)
	}
	for _, server := range c.servers {
		snapshot.Servers[server.Service] = append(snapshot.Servers[server.Service], server)
	}
	c.published.Store(snapshot)
}
