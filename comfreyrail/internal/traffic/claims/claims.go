package claims

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Timeouts and intervals of claims.
const (
	// keyWindow is the minimum time for which the claim of a key is held.
	keyWindow = 30 * time.Minute
	// maxStartDelay is the maximum time from the request for a claim to the start of its run.
	maxStartDelay = 5 * time.Second
	// storeTimeout is the timeout of one call to the platform's store.
	storeTimeout = 2 * time.Second
	// storeRetryDelay is the time between two attempts of a failed call to the platform's store.
	storeRetryDelay = 100 * time.Millisecond
	// tickInterval is the time between two calls of the registry's Tick.
	tickInterval = 100 * time.Millisecond
	// drainTimeout is the maximum time for which Serve continues after its context has ended.
	drainTimeout = 8 * time.Second
	// claimTimeout is the maximum wait for the decision on a claim.
	claimTimeout = 3 * time.Second
	// outageTimeout replaces claimTimeout during an outage of the platform's store.
	outageTimeout = 200 * time.Millisecond
)

// Limits of claims.
const (
	// defaultShards is the default of Config.Shards.
	defaultShards = 16
	// maxClaims is the maximum number of claims that the instance holds.
	maxClaims = 1 << 16
	// maxEntries is the maximum number of claims in one record.
	maxEntries = 8192
	// maxRecordedResponseBytes is the maximum size of a response that is stored in a record.
	maxRecordedResponseBytes = 512
	// maxCachedResponseBytes is the maximum size of a response that the instance caches for repeats.
	maxCachedResponseBytes = 64 << 10
	// maxCachedBytes is the maximum total size of the cached responses.
	maxCachedBytes = 8 << 20
	// eventBuffer is the capacity of the channel of events.
	eventBuffer = 256
	// fleetWriteRate is the maximum write rate of the whole fleet at the platform's store, in calls per second.
	fleetWriteRate = 300
	// outageFailures is the number of consecutive failed calls to the platform's store that count as an outage.
	outageFailures = 3
)

// Config configures Claims.
type Config struct {
	// Owner is the incarnation of this instance.
	Owner string
	// Store is the client of the platform's store, which holds the records of claims.
	Store *kv.Client
	// Members returns the instances of the fleet; nil means that this instance is the only one.
	Members func() []member.Member
	// QueryOwner sends a StatusQuery to the owner of a claim; nil means that no owner can be reached.
	QueryOwner func(ctx context.Context, owner member.Member, query StatusQuery) (claim.Status, error)
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Log receives a warning for each failed read or write of a record and each failed query to an owner. A write that
	// fails because of a version conflict or the call rate isn't logged.
	Log *logrus.Entry
	// Shards is the number of records that the claims are spread over; zero means the default of 16.
	// Every instance must use the same number.
	Shards int
	// NoBatching commits each claim in a separate write.
	NoBatching bool
}

// Claims holds the claims of this instance; they are committed only while Serve runs.
type Claims struct {
	config       Config
	registry     *claim.Registry
	events       chan event
	stopped      chan struct{}
	closeStopped sync.Once
	// outage is true after outageFailures consecutive failed calls to the platform's store.
	outage atomic.Bool

	// Only the goroutine of Serve uses registry and the fields below.

	// decisions holds the channel of each undecided claim, by the sequence number of the claim.
	decisions map[uint64]chan<- claim.Decision
	// waiters holds the channels that receive the status of a claim once its request has ended, by sequence number.
	waiters             map[uint64][]chan<- claim.Status
	consecutiveFailures int
}

// event is a change or a query that the goroutine of Serve applies to the registry.
type event interface {
	apply(c *Claims, now time.Time) claim.Actions
}

// New returns Claims without any claim.
func New(config Config) *Claims {
	if config.Shards == 0 {
		config.Shards = defaultShards
	}
	registryConfig := claim.Config{
		Owner: config.Owner, StartedAt: time.Now(), Shards: config.Shards, Window: keyWindow, MaxStartDelay: maxStartDelay, RetryDelay: storeRetryDelay, WriteRate: fleetWriteRate,
		MaxClaims: maxClaims, MaxEntries: maxEntries, MaxResponseBytes: maxRecordedResponseBytes, MaxCachedBytes: maxCachedBytes, NoBatching: config.NoBatching, Checker: config.Checker,
	}
	return &Claims{
		config: config, registry: claim.New(registryConfig),
		events: make(chan event, eventBuffer), stopped: make(chan struct{}),
		decisions: make(map[uint64]chan<- claim.Decision), waiters: make(map[uint64][]chan<- claim.Status),
	}
}

// Serve commits claims until the context has ended, and then until no claim is in progress, for at most drainTimeout.
//
// It returns the error of the context.
func (c *Claims) Serve(ctx context.Context) error {
	defer c.closeStopped.Do(func() { close(c.stopped) })
	callCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	flushTimer := time.NewTimer(tickInterval)
	defer flushTimer.Stop()
	ctxDone, drainExpired := ctx.Done(), (<-chan time.Time)(nil)
	for {
		var actions claim.Actions
		select {
		case e := <-c.events:
			actions = e.apply(c, time.Now())
		case now := <-flushTimer.C:
			actions = c.registry.Flush(now)
		case now := <-ticker.C:
			c.registry.SetWriteRate(c.writeRate())
			actions = c.registry.Tick(now)
		case <-ctxDone:
			ctxDone, drainExpired = nil, time.After(drainTimeout)
		case <-drainExpired:
			return ctx.Err()
		}
		c.execute(callCtx, actions)
		c.resetFlushTimer(flushTimer)
		if ctxDone == nil && !c.registry.Busy() {
			return ctx.Err()
		}
	}
}

// writeRate returns this instance's part of fleetWriteRate, in calls per second.
func (c *Claims) writeRate() float64 {
	if c.config.Members == nil {
		return fleetWriteRate
	}
	return fleetWriteRate / float64(max(1, len(c.config.Members())))
}

// resetFlushTimer sets the timer to the time of the next delayed call to the platform's store, if there is one.
func (c *Claims) resetFlushTimer(flushTimer *time.Timer) {
	if at, ok := c.registry.NextFlush(time.Now()); ok {
		flushTimer.Reset(max(0, time.Until(at)))
	}
}

// execute starts the calls to the platform's store and delivers decisions and statuses to the goroutines that wait for them.
func (c *Claims) execute(ctx context.Context, actions claim.Actions) {
	for _, shard := range actions.Reads {
		go c.readRecord(ctx, shard)
	}
	for _, write := range actions.Writes {
		go c.writeRecord(ctx, write)
	}
	for _, decision := range actions.Decisions {
		if reply, ok := c.decisions[decision.Sequence]; ok {
			reply <- decision
			delete(c.decisions, decision.Sequence)
		}
	}
	for sequence, replies := range c.waiters {
		status := c.registry.Status(sequence)
		if status.State == claim.Running {
			continue
		}
		for _, reply := range replies {
			reply <- status
		}
		delete(c.waiters, sequence)
	}
}

// send sends an event to the goroutine of Serve and reports whether it was sent; it returns false once Serve has returned.
func (c *Claims) send(e event) bool {
	select {
	case c.events <- e:
		return true
	case <-c.stopped:
		return false
	}
}

// countStoreCall counts consecutive failed calls to the platform's store and updates outage.
func (c *Claims) countStoreCall(failed bool) {
	if !failed {
		c.consecutiveFailures = 0
	} else {
		c.consecutiveFailures++
	}
	c.outage.Store(c.consecutiveFailures >= outageFailures)
}
