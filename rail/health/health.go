package health

import "time"

// Config configures a State.
type Config struct {
	// Failures is the number of consecutive failed probes after which a server becomes unhealthy.
	Failures int
	// MaxSuccesses is the maximum number of consecutive successes that a server needs to become healthy again.
	MaxSuccesses int
	// ResetAfter is the time without failures after which the number of times that a server became unhealthy starts again
	// from zero.
	ResetAfter time.Duration
}

// DefaultConfig returns the default configuration: 3 failures, at most 4 successes, and a reset after one minute.
func DefaultConfig() Config {
	return Config{Failures: 3, MaxSuccesses: 4, ResetAfter: time.Minute}
}

// State is the health of one backend server; the zero value is an unhealthy server that was never probed.
type State struct {
	healthy bool
	// failures is the number of consecutive failures.
	failures int
	// successes is the number of consecutive successes while the server is unhealthy.
	successes int
	// unhealthyCount is the number of times that the server became unhealthy without a pause of Config.ResetAfter between
	// failures.
	unhealthyCount int
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// Probed reports whether a probe of the server has ever succeeded or failed.
func (s *State) Probed() bool { return s.healthy || s.successes > 0 || !s.failedAt.IsZero() }

// Healthy reports whether the server is healthy.
func (s *State) Healthy() bool { return s.healthy }

// RecordSuccess records a successful probe that ended at the time now.
//
// A server needs one success to become healthy at first and after it became unhealthy once, and twice as many consecutive
// ones each further time, up to Config.MaxSuccesses, so that fewer requests fail at a server that repeatedly becomes unhealthy.
func (s *State) RecordSuccess(config Config, now time.Time) {
	s.failures = 0
	if s.healthy {
		return
	}
	if now.Sub(s.failedAt) > config.ResetAfter {
		s.unhealthyCount = 0
	}
	s.successes++
	if s.successes >= s.requiredSuccesses(config) {
		s.healthy, s.successes = true, 0
	}
}

// requiredSuccesses returns the number of consecutive successes after which the server becomes healthy.
func (s *State) requiredSuccesses(config Config) int {
	required := 1
	for range s.unhealthyCount - 1 {
		required = min(2*required, config.MaxSuccesses)
	}
	return required
}

// RecordFailure records a probe that was sent at sentAt and failed at the time now; lastServed is the time of the last
// request that the server served successfully.
//
// The failure of a healthy server is ignored if a request succeeded after the probe was sent, because the server then
// responds to traffic even if its status is late.
func (s *State) RecordFailure(config Config, sentAt, lastServed, now time.Time) {
	s.successes = 0
	if s.healthy && lastServed.After(sentAt) {
		return
	}
	if now.Sub(s.failedAt) > config.ResetAfter {
		s.unhealthyCount = 0
	}
	s.failedAt = now
	s.failures++
	if s.healthy && s.failures >= config.Failures {
		s.healthy = false
		s.unhealthyCount++
	}
}
