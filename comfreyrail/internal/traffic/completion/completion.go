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
	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Limits of one completion.
const (
	openTimeout   = 250 * time.Millisecond
	probeTimeout  = 250 * time.Millisecond
	probeFloor    = 100 * time.Millisecond
	cancelTimeout = time.Second
	maxFruitless  = 10
	minBackoff    = 20 * time.Millisecond
	maxBackoff    = time.Second
	avoidTime     = 5 * time.Second
	chainPatience = 5 * time.Second
)

// Request is one completion request.
type Request struct {
	// ID identifies the request.
	ID string
	// Route is the route that the request matched.
	Route table.Route
	// Prompt is the text to complete.
	Prompt string
	// MaxTokens is the greatest number of tokens to generate.
	MaxTokens int
}

// Config configures a Runner.
type Config struct {
	// Control publishes the state.
	Control *control.Control
	// HTTP makes the calls to the engines.
	HTTP *http.Client
	// Log receives the log.
	Log *logrus.Entry
	// Zone is the availability zone of this instance.
	Zone string
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Metrics counts the ways of recovery.
	Metrics metrics.Registry
	// Choose chooses a chain; nil means chain.Choose.
	Choose func(servers []chain.Server, request chain.Request) (chain.Plan, bool)
	// Track counts an attempt at every stage of its plan until done is called; nil counts nothing.
	Track func(pool string, plan chain.Plan) (done func())
	// TakeRetry takes one attempt on the pool from a budget after an attempt without a new token; nil allows every attempt.
	TakeRetry func(pool string) bool
	// Silence configures the deadlines for frames; the zero value means stall.DefaultConfig.
	Silence stall.Config
	// RechainAlways answers every failure with a whole new chain, for comparisons.
	RechainAlways bool
}

// Runner runs completion requests.
type Runner struct {
	config  Config
	fresh   *http.Client
	budgets budgets
}

// New returns a Runner.
func New(config Config) *Runner {
	if config.Choose == nil {
		config.Choose = chain.Choose
	}
	if config.TakeRetry == nil {
		config.TakeRetry = func(string) bool { return true }
	}
	if config.Track == nil {
		config.Track = func(string, chain.Plan) func() { return func() {} }
	}
	if config.Silence == (stall.Config{}) {
		config.Silence = stall.DefaultConfig()
	}
	transport := &http.Transport{DisableKeepAlives: true, DisableCompression: true}
	return &Runner{config: config, fresh: &http.Client{Transport: transport}}
}

// Run runs the request, hands each token to deliver and returns why the answer is whole; the error holds an outcome.Failure.
func (r *Runner) Run(ctx context.Context, request Request, deliver func(token string) error) (finish engine.FinishReason, err error) {
	pool, ok := r.config.Control.Snapshot().Tables.FindPool(request.Route.Pool)
	if !ok {
		return "", outcome.NotRunf(outcome.CodeNoRoute, "pool %q does not exist", request.Route.Pool)
	}
	deadline, ok := ctx.Deadline()
	if !ok {
		deadline = time.Now().Add(request.Route.Deadline())
	}
	session := stream.NewSession(stream.SessionConfig{
		Answer:   stream.AnswerConfig{Stream: request.ID, Layers: pool.Layers, MaxTokens: request.MaxTokens, Checker: r.config.Checker},
		Recovery: r.recovery(request, pool),
		Silence:  r.config.Silence,
		Servers: func() []chain.Server {
			return r.config.Control.Snapshot().AppendServers(make([]chain.Server, 0, len(pool.Servers)), pool)
		},
		OpenTimeout:     openTimeout,
		ProbeTimeout:    probeTimeout,
		MinProbeTimeout: probeFloor,
		Deadline:        deadline,
	})
	finish, err = newCarrier(r, request, session, deliver).carry(ctx)
	if err == nil {
		r.budgets.succeeded(time.Now(), pool.Name)
	}
	return finish, err
}

// recovery returns how to go on with the request after failures.
func (r *Runner) recovery(request Request, pool table.Pool) stream.RecoveryConfig {
	digest := fnv.New64a()
	_, _ = digest.Write([]byte(request.ID))
	return stream.RecoveryConfig{
		Choose:                     r.config.Choose,
		TakeRetry:                  func() bool { return r.config.TakeRetry(pool.Name) },
		Request:                    chain.Request{Pool: pool.Name, Layers: pool.Layers, Zone: r.config.Zone, Prefix: engine.PrefixHash(request.Prompt)},
		Rand:                       rand.New(rand.NewSource(int64(digest.Sum64()))),
		Allow:                      func(now time.Time) bool { return r.budgets.allow(now, pool.Name) },
		MaxAttemptsWithoutProgress: maxFruitless,
		BaseBackoff:                minBackoff,
		MaxBackoff:                 maxBackoff,
		Cooldown:                   avoidTime,
		MaxChainWait:               chainPatience,
		RechainAlways:              r.config.RechainAlways,
	}
}

// count counts an attempt by the way that led to it.
func (r *Runner) count(way stream.Strategy) {
	if r.config.Metrics != nil {
		metrics.GetOrRegisterCounter("attempts."+way.String(), r.config.Metrics).Inc(1)
	}
}
