package completion

import (
	"context"
	"hash/fnv"
	"math/rand"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Limits of one completion.
const (
	// openTimeout is the maximum time to open one stage.
	openTimeout = 250 * time.Millisecond
	// probeTimeout is the maximum time for a stage to respond to a probe.
	probeTimeout = 250 * time.Millisecond
	// minProbeTimeout is the minimum time, from the start of a probe, to wait for the other stages once one has responded.
	minProbeTimeout = 100 * time.Millisecond
	// cancelTimeout is the maximum time to cancel a stream at one backend server.
	cancelTimeout = time.Second
	// maxAttemptsWithoutProgress is the number of attempts in a row without a new token before giving up.
	maxAttemptsWithoutProgress = 10
	// baseBackoff is the maximum wait after the first attempt without a new token. It doubles with each further one in a
	// row, up to maxBackoff.
	baseBackoff = 20 * time.Millisecond
	// maxBackoff is the maximum wait before an attempt.
	maxBackoff = time.Second
	// cooldown is how long a backend server is avoided after its first failure.
	cooldown = 5 * time.Second
	// maxChainWait is the time after which a request is abandoned if no further attempt could be started.
	maxChainWait = 5 * time.Second
)

// Request is one completion request.
type Request struct {
	// ID identifies the request; it is also the ID of its stream at the engines.
	ID string
	// Route is the route that the request matched.
	Route table.Route
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int
}

// Config configures a Runner.
type Config struct {
	// Control provides the tables and the state of the backend servers.
	Control *control.Control
	// HTTP makes the calls to the engines.
	HTTP *http.Client
	// Log receives a warning for each failed attempt that is followed by another.
	Log *logrus.Entry
	// Zone is the availability zone of this instance.
	Zone string
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Metrics counts attempts by recovery strategy; nil counts none.
	Metrics metrics.Registry
	// ChooseChain chooses a chain; nil means chain.ChooseCheapest.
	ChooseChain func(servers []chain.Server, request chain.Request) (chain.Chain, bool)
	// Track counts an attempt as in progress at every stage of its chain until done is called; nil counts nothing.
	Track func(pool string, chosen chain.Chain) (done func())
	// TakeRetry takes one retry on the pool from its retry budget, and reports whether the budget allows it. It is called
	// before an attempt that follows one without a new token, except a stream.SameChain; nil allows every attempt, unlike
	// in package relay, where it allows no retry.
	TakeRetry func(pool string) bool
	// Stall configures the detection of stalled streams; the zero value means stall.DefaultConfig.
	Stall stall.Config
	// Clock is the clock of the timeouts of engines; nil means an ordinary one.
	Clock *runclock.Clock
	// AlwaysNewChain starts a whole new chain after every failure. Benchmarks use it for comparison.
	AlwaysNewChain bool
}

// Runner runs completion requests; its methods may be called concurrently.
type Runner struct {
	config Config
	// noKeepAlive opens a new connection for each call.
	noKeepAlive *http.Client
	budgets     attemptBudgets
}

// New returns a Runner with the configuration, in which unset functions are replaced by defaults.
func New(config Config) *Runner {
	if config.ChooseChain == nil {
		config.ChooseChain = chain.ChooseCheapest
	}
	if config.TakeRetry == nil {
		config.TakeRetry = func(string) bool { return true }
	}
	if config.Track == nil {
		config.Track = func(string, chain.Chain) func() { return func() {} }
	}
	if config.Stall == (stall.Config{}) {
		config.Stall = stall.DefaultConfig()
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true, MaxResponseHeaderBytes: limit.HeadBytes}
	return &Runner{config: config, noKeepAlive: &http.Client{Transport: transport}}
}

// Run runs the request, passes each token to deliver and returns the reason why the answer is complete; the error is an
// *outcome.Failure. An error of deliver means that the caller has disconnected, and ends the request. If ctx has no
// deadline, the deadline of the route applies.
func (r *Runner) Run(ctx context.Context, request Request, deliver func(token string) error) (finish engine.FinishReason, err error) {
	pool, ok := r.config.Control.Snapshot().Tables.PoolByName(request.Route.Pool)
	if !ok {
		return "", outcome.NotRunf(outcome.CodeNoRoute, "pool %q does not exist", request.Route.Pool)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(request.Route.Timeout())
	}
	session := stream.NewSession(stream.SessionConfig{
		Answer:   stream.AnswerConfig{Stream: request.ID, Layers: pool.Layers, MaxTokens: request.MaxTokens, Checker: r.config.Checker},
		Recovery: r.recoveryConfig(request, pool),
		Stall:    r.config.Stall,
		Servers: func() []chain.Server {
			return r.config.Control.Snapshot().AppendServers(make([]chain.Server, 0, len(pool.Servers)), pool)
		},
		OpenTimeout:     openTimeout,
		ProbeTimeout:    probeTimeout,
		MinProbeTimeout: minProbeTimeout,
		Deadline:        deadline,
	})
	finish, err = newDriver(r, request, session, deliver).run(ctx)
	if err == nil {
		r.budgets.succeeded(time.Now(), pool.Name)
	}
	return finish, err
}

// recoveryConfig returns the configuration of the recovery after failed attempts.
//
// The jitter of the backoff is seeded with a hash of the request's ID.
func (r *Runner) recoveryConfig(request Request, pool table.Pool) stream.RecoveryConfig {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(request.ID))
	return stream.RecoveryConfig{
		Choose:                     r.config.ChooseChain,
		TakeRetry:                  func() bool { return r.config.TakeRetry(pool.Name) },
		Request:                    chain.Request{Pool: pool.Name, Layers: pool.Layers, Zone: r.config.Zone, Prefix: engine.PrefixHash(request.Prompt)},
		Rand:                       rand.New(rand.NewSource(int64(hash.Sum64()))),
		TakeAttempt:                func(now time.Time) bool { return r.budgets.allow(now, pool.Name) },
		MaxAttemptsWithoutProgress: maxAttemptsWithoutProgress,
		BaseBackoff:                baseBackoff,
		MaxBackoff:                 maxBackoff,
		Cooldown:                   cooldown,
		MaxChainWait:               maxChainWait,
		AlwaysNewChain:             r.config.AlwaysNewChain,
	}
}

// countAttempt counts an attempt by the strategy that led to it.
func (r *Runner) countAttempt(strategy stream.Strategy) {
	if r.config.Metrics != nil {
		metrics.GetOrRegisterCounter("attempts."+strategy.String(), r.config.Metrics).Inc(1)
	}
}
