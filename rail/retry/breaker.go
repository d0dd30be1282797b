package retry

import (
	"math/rand"
	"time"
)

// Parameters of the circuit breakers.
const (
	// tripFailures is the number of failures in a row that open a breaker.
	tripFailures = 5
	// closeSuccesses is the number of successful trials that close a half-open breaker.
	closeSuccesses = 2
	// maxTrials is the maximum number of trials in progress at one server.
	maxTrials = 1
	// minOpenTime is the time, before jitter, for which a breaker first stays open; it doubles with each failed trial.
	minOpenTime = time.Second
	// maxOpenTime is the maximum time, before jitter, for which a breaker stays open.
	maxOpenTime = 30 * time.Second
	// trialTimeout is the time after which a trial that has not ended counts as failed.
	trialTimeout = time.Minute
)

// BreakersConfig configures Breakers.
type BreakersConfig struct {
	// MaxTrippedRatio is the maximum fraction of the backend servers whose breakers are not closed; zero means 0.5.
	MaxTrippedRatio float64
	// Random is the source of the jitter that spreads the times at which open breakers become half-open.
	Random *rand.Rand
}

// Breakers holds a circuit breaker for each backend server of one pool; it is not safe for concurrent use.
type Breakers struct {
	config      BreakersConfig
	byServer    map[string]*breakerState
	serverCount int
}

// breakerState is the circuit breaker of a server that has failed; servers without recent failures have none. A
// breaker is tripped while it is open or half-open.
type breakerState struct {
	// failures is the number of failures in a row.
	failures int
	// successes is the number of successful trials since the breaker last opened.
	successes int
	// trips is the number of times that the breaker has opened.
	trips int
	// openTime is the time, before jitter, for which the breaker last opened; zero while it is closed.
	openTime  time.Duration
	openUntil time.Time
	// trials is the number of trials in progress.
	trials         int
	trialStartedAt time.Time
}

// isTripped reports whether the breaker is tripped.
func (b *breakerState) isTripped() bool { return b.openTime > 0 }

// NewBreakers returns Breakers that are all closed.
func NewBreakers(config BreakersConfig) *Breakers {
	if config.MaxTrippedRatio == 0 {
		config.MaxTrippedRatio = 0.5
	}
	return &Breakers{config: config, byServer: make(map[string]*breakerState)}
}

// SetServers sets the backend servers of the pool and drops the breakers of all others.
func (b *Breakers) SetServers(names []string) {
	b.serverCount = len(names)
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for name := range b.byServer {
		if !listed[name] {
			delete(b.byServer, name)
		}
	}
}

// Allow reports whether a request may be sent to the server now. A trial that has been in progress for trialTimeout
// counts as failed and opens the breaker again.
func (b *Breakers) Allow(now time.Time, server string) bool {
	state, ok := b.byServer[server]
	if !ok || !state.isTripped() {
		return true
	}
	if state.trials > 0 && now.Sub(state.trialStartedAt) >= trialTimeout {
		b.trip(now, state)
	}
	return !now.Before(state.openUntil) && state.trials < maxTrials
}

// Handle identifies a request that was sent to a server.
type Handle struct {
	server string
	// trips is the number of times that the breaker had opened when the request was sent; zero if it was closed.
	trips int
}

// Started records that a request was sent to the server; Ended must be called with the handle when the request ends.
func (b *Breakers) Started(now time.Time, server string) Handle {
	state, ok := b.byServer[server]
	if !ok || !state.isTripped() {
		return Handle{server: server}
	}
	state.trials++
	state.trialStartedAt = now
	return Handle{server: server, trips: state.trips}
}

// Ended records whether a request succeeded; the result of a trial that ends after the breaker has closed is ignored.
// While the breaker is open or half-open, the results of requests that were sent before it last opened are ignored,
// too.
func (b *Breakers) Ended(now time.Time, handle Handle, succeeded bool) {
	state, ok := b.byServer[handle.server]
	if !ok && (succeeded || handle.trips > 0) {
		return
	}
	if !ok {
		state = new(breakerState)
		b.byServer[handle.server] = state
	}
	if state.trips != handle.trips {
		return
	}
	state.trials = max(0, state.trials-1)
	switch {
	case !succeeded:
		b.recordFailure(now, state)
	case state.isTripped():
		state.successes++
	}
	if succeeded && (!state.isTripped() || state.successes >= closeSuccesses) {
		delete(b.byServer, handle.server)
	}
}

// recordFailure counts a failure and opens the breaker after a failed trial, or after tripFailures failures in a row
// unless too many breakers are tripped.
func (b *Breakers) recordFailure(now time.Time, state *breakerState) {
	state.failures++
	if state.isTripped() || state.failures >= tripFailures && b.mayOpen() {
		b.trip(now, state)
	}
}

// trip opens the breaker for twice as long as before, within minOpenTime and maxOpenTime, with jitter of up to plus or
// minus half of that time.
func (b *Breakers) trip(now time.Time, state *breakerState) {
	state.trips++
	state.openTime = min(max(minOpenTime, 2*state.openTime), maxOpenTime)
	state.openUntil = now.Add(state.openTime/2 + time.Duration(b.config.Random.Int63n(int64(state.openTime))))
	state.successes, state.trials = 0, 0
}

// mayOpen reports whether MaxTrippedRatio allows one more tripped breaker.
func (b *Breakers) mayOpen() bool {
	return float64(b.TrippedCount()+1) <= b.config.MaxTrippedRatio*float64(b.serverCount)
}

// TrippedCount returns the number of breakers that are open or half-open.
func (b *Breakers) TrippedCount() (count int) {
	for _, state := range b.byServer {
		if state.isTripped() {
			count++
		}
	}
	return count
}
