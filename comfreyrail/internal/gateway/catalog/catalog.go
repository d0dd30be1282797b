package catalog

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Keys of the items that instances of the gateway write to the store.
const (
	// Root is the prefix of all keys that instances write.
	Root = "comfreyrail/"
	// InstancePrefix is the prefix of the keys of the live instances' records; the rest of a key is the instance's name.
	InstancePrefix = Root + "instance/"
	// CrashReportPrefix is the prefix of the keys of the instances' crash reports; the rest of a key is the instance's name.
	CrashReportPrefix = Root + "crash/"
	// PlacerKey is the key of the item that the placer stores under its lease. The placer is the instance that assigns layers
	// to engines.
	PlacerKey = Root + "placer"
)

// Timeouts and intervals for reading the store and other instances.
const (
	// callTimeout is the timeout of a call to the store, not counting the time that a watch may wait for changes.
	callTimeout = 1500 * time.Millisecond
	// retryDelay is the pause after a refresh that failed, or that skipped the store and got no fresh changes.
	retryDelay = 250 * time.Millisecond
	// fetchTimeout is the timeout of fetching changes from another instance.
	fetchTimeout = 300 * time.Millisecond
	// fetchAllTimeout is the timeout of fetching changes that contain large values from another instance.
	fetchAllTimeout = time.Second
	// maxFetchedValue is the maximum size in bytes of a value that an instance fetches from another one while the store responds to
	// it. An instance may send its changes to all of its zone over a narrow link, so larger values are read from the store.
	maxFetchedValue = 16 << 10
	// peerCooldown is how long a reader whose changes could not be fetched or were stale is not used again.
	peerCooldown = 4 * time.Second
	// minWatchWait is the wait of a watch that only asks for the changes so far.
	minWatchWait = time.Millisecond
	// readerMargin is how much the age of a reader's changes may exceed WatchInterval. A reader that the store turns away has
	// its changes from others, which are older.
	readerMargin = 250 * time.Millisecond
	// readerWatches is the number of watches of a reader in WatchInterval. Its changes are thus fresh for the others also if
	// nothing changes and each watch waits to its end.
	readerWatches = 2
	// freshIntervals times WatchInterval is the maximum age of a random other instance's changes if neither the reader nor the
	// store can be used.
	freshIntervals = 1.5
	// oldIntervals times WatchInterval is the age from which content is old, so that the store must be read before others are
	// asked. WatchInterval is a quarter of the delay within which a change must take effect.
	oldIntervals = 2.5
	// minStoreBackoff is the minimum backoff after a failed call to the store, for instances that aren't readers.
	minStoreBackoff = 1500 * time.Millisecond
	// storeBackoffPerInstance times the number of live instances is the backoff after a failed call to the store. It
	// grows with the number of instances, so that their total rate of calls is bounded.
	storeBackoffPerInstance = 40 * time.Millisecond
	// reappearTimeout is how long after an outage of the store a server that isn't draining stays listed although its entry was
	// removed during the outage or since.
	reappearTimeout = 2500 * time.Millisecond
	// maxContentLag is the maximum time before the end of such a time limit as of which the content must be confirmed, so that what it
	// lacks has not been written again in time.
	maxContentLag = 500 * time.Millisecond
)

// Config configures a Catalog.
type Config struct {
	// Range returns a page of the items whose keys have the prefix and are greater than after, in key order.
	Range func(ctx context.Context, prefix, after string) (store.Page, error)
	// Watch waits up to the given time for changes after a revision and returns them.
	Watch func(ctx context.Context, prefix string, after uint64, wait time.Duration) (store.Changes, error)
	// Get returns the item with the key and the era of the store, zero if unknown. It returns store.ErrNotFound if there is no such
	// item.
	Get func(ctx context.Context, key string) (item store.Item, era uint64, err error)
	// FetchChanges fetches changes from the instance at the address.
	FetchChanges func(ctx context.Context, address string, request ChangesRequest) (Changes, error)
	// Self is the record of this instance.
	Self Instance
	// ConfigKey is the key of the configuration.
	ConfigKey string
	// DecodeConfig decodes the configuration.
	DecodeConfig func(value []byte) (route.Config, error)
	// ServerID returns the ID of the backend server whose entry is stored under the key, and false for other keys.
	ServerID func(key string) (string, bool)
	// DecodeServer decodes the entry of a backend server.
	DecodeServer func(id string, value []byte) (backend.Server, error)
	// WatchInterval is the time from the start of a refresh that succeeds to that of the next one; readers of the store watch
	// more often.
	WatchInterval time.Duration
	// Metrics counts the refreshes by their source; nil means that nothing is counted.
	Metrics metrics.Registry
	// Random returns numbers in [0, 1); nil uses the global source.
	Random func() float64
	// Elapsed returns the reading of a monotonic clock that includes the time that the machine is suspended.
	Elapsed func() time.Duration
	// Clock is the clock of the timeouts of calls; nil means an ordinary one.
	Clock *runclock.Clock
	// Log is the logger.
	Log *logrus.Entry
}

// Snapshot is an immutable view of the catalog's state.
type Snapshot struct {
	// Index indexes the configuration in force, nil until one has been read.
	Index *route.Index
	// Servers lists the backend servers by the name of their service.
	Servers map[string][]backend.Server
	// Instances lists the live instances, including this one once its record is in the store.
	Instances []Instance
	// Era is the era of the store whose content this is, zero if unknown.
	Era uint64
	// Placer is the item of the placer. Its revision is zero if there is no item. Its lease is zero if no instance wrote the item.
	Placer store.Item
	// CrashReports holds the crash reports of the instances by their names; it is the same map as in the previous snapshot if
	// none has changed.
	CrashReports map[string]poison.Evidence
	// Sequence is the number of this snapshot; each snapshot's is one greater than that of the previous one.
	Sequence uint64
}

// Catalog keeps a copy of the store's content, read from the store or fetched from another instance.
type Catalog struct {
	config      Config
	published   atomic.Pointer[Snapshot]
	confirmedAt atomic.Int64 // reading of Elapsed in nanoseconds, -1 if the store never confirmed the content
	changeLog   changeLog

	// The fields below are used only by the goroutine that runs Serve.

	era              uint64 // of the store, zero if unknown
	noticedEra       uint64 // of the last watch that found the store restored, whose content may not have been read yet
	revision         uint64
	source           source // where the changes that are being applied come from
	index            *route.Index
	servers          map[string]backend.Server
	expiring         map[string]time.Duration // when to remove a server whose entry was removed in or after an outage, by ID
	malformed        map[string]bool          // keys of malformed items that were logged
	restored         restored
	instances        map[string]Instance
	placer           store.Item
	crashReports     map[string]poison.Evidence
	reportsPublished bool // whether a snapshot holds crashReports, which must be copied before a change then
	unpublished      bool // whether the state has changed since the last snapshot
	upToDate         bool // whether a refresh succeeded and none failed since, not counting errors of mustReadAll and errStoreSkipped
	hadOutage        bool // whether a refresh failed after an earlier one had succeeded
	upToDateSince    time.Duration
	storeFailedAt    time.Duration            // when the last read of the store failed, zero if it succeeded
	cooldowns        map[string]time.Duration // time by instance name until which it is not used as a reader
}

// New returns an empty Catalog.
func New(config Config) *Catalog {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.Metrics == nil {
		config.Metrics = metrics.NewRegistry()
	}
	c := &Catalog{
		config: config, servers: make(map[string]backend.Server), expiring: make(map[string]time.Duration), malformed: make(map[string]bool),
		instances: make(map[string]Instance), cooldowns: make(map[string]time.Duration), changeLog: newChangeLog(), restored: newRestored(),
	}
	c.confirmedAt.Store(-1)
	c.publish()
	return c
}

// Snapshot returns the newest snapshot; it is never nil and must not be changed.
func (c *Catalog) Snapshot() *Snapshot { return c.published.Load() }

// Age returns the time since the store last confirmed the catalog's content, and false if it never did.
func (c *Catalog) Age() (age time.Duration, ok bool) {
	at := c.confirmedAt.Load()
	if at < 0 {
		return 0, false
	}
	return c.config.Elapsed() - time.Duration(at), true
}

// Serve keeps the catalog up to date until the context ends.
func (c *Catalog) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		start := c.config.Elapsed()
		age, err := c.refresh(ctx)
		c.countRefresh(err)
		delay := c.refreshInterval() - (c.config.Elapsed() - start)
		switch {
		case err == nil:
			c.recordConfirmed(start - age)
		case mustReadAll(err):
			c.config.Log.WithError(err).Info("the changes since the known revision are not available; reading everything again")
			delay = 0
			if c.revision == 0 {
				delay = retryDelay
			}
			c.revision = 0
		case errors.Is(err, errStoreSkipped):
			delay = c.skippedDelay()
		default:
			c.recordFailure(ctx, err)
			delay = retryDelay
		}
		c.expireServers()
		c.expireRestored()
		_ = pause.For(ctx, delay)
	}
	return ctx.Err()
}

// mustReadAll reports whether an error of a refresh means that the changes since the known revision are not available.
func mustReadAll(err error) bool {
	return errors.Is(err, store.ErrCompacted) || errors.Is(err, store.ErrRestored)
}

// recordConfirmed records that the store confirmed the catalog's content as of the given time.
//
// At the end of an outage it gives the servers in c.expiring the full time to reappear.
func (c *Catalog) recordConfirmed(at time.Duration) {
	c.confirmedAt.Store(max(c.confirmedAt.Load(), int64(at)))
	if !c.upToDate {
		c.upToDate = true
		c.upToDateSince = c.config.Elapsed()
		for id := range c.expiring {
			c.expiring[id] = c.upToDateSince + reappearTimeout
		}
		c.restartRestoredTimes()
		c.config.Log.WithField("revision", c.revision).Info("the content is confirmed by the store")
	}
}

// recordFailure marks the catalog as out of date after a failed refresh, and logs the failure. It does nothing if the
// catalog is out of date already, as it is before the first successful refresh, or if the context has ended.
func (c *Catalog) recordFailure(ctx context.Context, err error) {
	if c.upToDate && ctx.Err() == nil {
		c.upToDate, c.hadOutage = false, true
		c.config.Log.WithError(err).Warn("cannot read the store or fetch its changes")
	}
}

// Changes returns the changes that another instance asks for, and false if the store has not been read yet.
func (c *Catalog) Changes(request ChangesRequest) (changes Changes, ok bool) {
	age, ok := c.Age()
	if !ok {
		return changes, false
	}
	changes = c.changeLog.since(request)
	changes.Age = age
	return changes, changes.Revision > 0
}

// publish publishes a snapshot of the current state.
func (c *Catalog) publish() {
	snapshot := &Snapshot{
		Index: c.index, Servers: make(map[string][]backend.Server), Era: c.era, Placer: c.placer, CrashReports: c.crashReports,
	}
	if previous := c.published.Load(); previous != nil {
		snapshot.Sequence = previous.Sequence + 1
	}
	for _, instance := range c.instances {
		snapshot.Instances = append(snapshot.Instances, instance)
	}
	for _, server := range c.servers {
		snapshot.Servers[server.Service] = append(snapshot.Servers[server.Service], server)
	}
	c.published.Store(snapshot)
	c.reportsPublished = true
}
