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

// Times of claims.
const (
	window       = 30 * time.Minute
	bound        = 5 * time.Second
	callTimeout  = 2 * time.Second
	callPause    = 100 * time.Millisecond
	sweepEvery   = 100 * time.Millisecond
	drainTimeout = 8 * time.Second
	// claimTimeout is the longest wait for a claim, and outageTimeout the same while the service fails.
	claimTimeout  = 3 * time.Second
	outageTimeout = 200 * time.Millisecond
)

// Limits of claims.
const (
	defaultShards   = 16
	maxClaims       = 1 << 16
	maxEntries      = 8192
	maxRecordAnswer = 512
	maxKeptAnswer   = 64 << 10
	maxKeptAnswers  = 8 << 20
	eventBuffer     = 256
	// fleetWrites is the rate of writes of the whole fleet at the platform's service, in calls per second.
	fleetWrites = 300
	// outageFailures is the number of failed calls in a row that count as an outage.
	outageFailures = 3
)

// Config configures Claims.
type Config struct {
	// Owner is the incarnation of this instance.
	Owner string
	// Store is the platform's service.
	Store *kv.Client
	// Members returns the instances of the fleet; nil means that there is only this one.
	Members func() []member.Member
	// QueryOwner asks the owner of a claim about it; nil means that no owner can be reached.
	QueryOwner func(ctx context.Context, owner member.Member, question StatusQuery) (claim.Status, error)
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Log receives the log.
	Log *logrus.Entry
	// Shards is the number of records; zero means the default, and every instance must use the same.
	Shards int
	// NoBatching commits every claim with a write of its own.
	NoBatching bool
}

// Claims owns the claims of this instance; Serve must run for them to be committed.
type Claims struct {
	config  Config
	book    *claim.Registry
	events  chan event
	stopped chan struct{}
	stop    sync.Once
	// outage tells that the service has failed several times in a row.
	outage atomic.Bool

	// The fields below belong to the goroutine of Serve.
	verdicts map[uint64]chan<- claim.Decision
	waiters  map[uint64][]chan<- claim.Status
	failures int
}

// event is something that the goroutine of Serve is told.
type event interface {
	apply(c *Claims, now time.Time) claim.Actions
}

// New returns Claims of which none is committed.
func New(config Config) *Claims {
	if config.Shards == 0 {
		config.Shards = defaultShards
	}
	book := claim.Config{
		Owner: config.Owner, Started: time.Now(), Shards: config.Shards, Window: window, MaxStartDelay: bound, RetryDelay: callPause, WriteRate: fleetWrites,
		MaxClaims: maxClaims, MaxEntries: maxEntries, MaxResponseBytes: maxRecordAnswer, MaxCachedBytes: maxKeptAnswers, NoBatching: config.NoBatching, Checker: config.Checker,
	}
	return &Claims{
		config: config, book: claim.New(book),
		events: make(chan event, eventBuffer), stopped: make(chan struct{}),
		verdicts: make(map[uint64]chan<- claim.Decision), waiters: make(map[uint64][]chan<- claim.Status),
	}
}

// Serve commits claims until the context ends and every claim in progress has ended.
func (c *Claims) Serve(ctx context.Context) error {
	defer c.stop.Do(func() { close(c.stopped) })
	calls, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	sweep := time.NewTicker(sweepEvery)
	defer sweep.Stop()
	wake := time.NewTimer(sweepEvery)
	defer wake.Stop()
	ending, expired := ctx.Done(), (<-chan time.Time)(nil)
	for {
		var actions claim.Actions
		select {
		case received := <-c.events:
			actions = received.apply(c, time.Now())
		case now := <-wake.C:
			actions = c.book.Flush(now)
		case now := <-sweep.C:
			c.book.SetWriteRate(c.rate())
			actions = c.book.Tick(now)
		case <-ending:
			ending, expired = nil, time.After(drainTimeout)
		case <-expired:
			return ctx.Err()
		}
		c.carryOut(calls, actions)
		c.arm(wake)
		if ending == nil && !c.book.Busy() {
			return ctx.Err()
		}
	}
}

// rate is this instance's share of the fleet's rate of writes.
func (c *Claims) rate() float64 {
	if c.config.Members == nil {
		return fleetWrites
	}
	return fleetWrites / float64(max(1, len(c.config.Members())))
}

// arm sets the timer to the next call that had to wait.
func (c *Claims) arm(wake *time.Timer) {
	if at, ok := c.book.NextFlush(time.Now()); ok {
		wake.Reset(max(0, time.Until(at)))
	}
}

// carryOut starts the calls to the service and passes verdicts on.
func (c *Claims) carryOut(ctx context.Context, actions claim.Actions) {
	for _, number := range actions.Reads {
		go c.read(ctx, number)
	}
	for _, write := range actions.Writes {
		go c.write(ctx, write)
	}
	for _, verdict := range actions.Decisions {
		if reply, ok := c.verdicts[verdict.Handle]; ok {
			reply <- verdict
			delete(c.verdicts, verdict.Handle)
		}
	}
	for sequence, replies := range c.waiters {
		answer := c.book.Status(sequence)
		if answer.State == claim.Running {
			continue
		}
		for _, reply := range replies {
			reply <- answer
		}
		delete(c.waiters, sequence)
	}
}

// send hands an event to the goroutine of Serve, or reports that it has stopped.
func (c *Claims) send(sent event) bool {
	select {
	case c.events <- sent:
		return true
	case <-c.stopped:
		return false
	}
}

// called counts failed calls in a row.
func (c *Claims) called(failed bool) {
	if !failed {
		c.failures = 0
	} else {
		c.failures++
	}
	c.outage.Store(c.failures >= outageFailures)
}
