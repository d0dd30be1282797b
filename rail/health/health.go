package health

import "time"

// Config configures a State.
type Config struct {
	// Failures is the number of failures in a row that make a server unhealthy.
	Failures int
	// MaxSuccesses is the greatest number of successes in a row that a server needs to become healthy again.
	MaxSuccesses int
	// ResetAfter is the time without failures after which a server's past does not count.
	ResetAfter time.Duration
}

// DefaultConfig returns the usual configuration.
func DefaultConfig() Config {
	return Config{Failures: 3, MaxSuccesses: 4, ResetAfter: time.Minute}
}

// State judges one backend server; its zero value is a server that has never answered.
type State struct {
	healthy bool
	// failures counts the failures in a row.
	failures int
	// successes counts the successes in a row while unhealthy.
	successes int
	// falls counts how often the server became unhealthy without a calm time between.
	falls int
	// failedAt is the time of the last failure.
	failedAt time.Time
}

// Known reports whether a status call to the server has ever ended.
func (s *State) Known() bool { return s.healthy || s.successes > 0 || !s.failedAt.IsZero() }

// Healthy reports whether the server answers.
func (s *State) Healthy() bool { return s.healthy }

// RecordSuccess takes a successful status call.
//
// A server that has fallen before needs more successes in a row each time, so that one that comes and goes does not
// take requests down with it each time.
func (s *State) RecordSuccess(config Config, now time.Time) {
	s.failures = 0
	if s.healthy {
		return
	}
	if now.Sub(s.failedAt) > config.ResetAfter {
		s.falls = 0
	}
	s.successes++
	if s.successes >= s.needed(config) {
		s.healthy, s.successes = true, 0
	}
}

// needed returns the number of successes in a row that make the server healthy.
func (s *State) needed(config Config) int {
	needed := 1
	for range s.falls - 1 {
		needed = min(2*needed, config.MaxSuccesses)
	}
	return needed
}

// RecordFailure takes a status call, sent at asked, that failed; served is the time of the last successful traffic.
//
// Traffic that succeeded after the call was sent shows that the server answers, however late it is with its status.
func (s *State) RecordFailure(config Config, asked, served, now time.Time) {
	s.successes = 0
	if s.healthy && served.After(asked) {
		return
	}
	if now.Sub(s.failedAt) > config.ResetAfter {
		s.falls = 0
	}
	s.failedAt = now
	s.failures++
	if s.healthy && s.failures >= config.Failures {
		s.healthy = false
		s.falls++
	}
}
