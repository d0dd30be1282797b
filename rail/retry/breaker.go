package retry

import (
	"math/rand"
	"time"
)

// Constants of the breakers.
const (
	// tripFailures is the number of failures in a row that open a breaker.
	tripFailures = 5
	// closeSuccesses is the number of successful probes that close a breaker.
	closeSuccesses = 2
	// maxProbes is the number of requests in progress at a server whose breaker is half open.
	maxProbes = 1
	// firstPause is the time for which a breaker is open first; it doubles with each failed probe.
	firstPause = time.Second
	// maxPause is the longest time for which a breaker is open.
	maxPause = 30 * time.Second
	// probeTimeout is the time after which a probe without an end counts as failed.
	probeTimeout = time.Minute
)

// BreakersConfig configures a set of Breakers.
type BreakersConfig struct {
	// MaxOpenRatio is the greatest share of the backend servers that are left alone; zero means a half.
	MaxOpenRatio float64
	// Random spreads the ends of pauses.
	Random *rand.Rand
}

// Breakers keep requests away from the backend servers of one pool that fail; it is not safe for concurrent use.
//
// A server that fails five times in a row gets no request for a pause, and then one at a time until two have succeeded.
type Breakers struct {
	config  BreakersConfig
	servers map[string]*breaker
	size    int
}

// breaker is what is kept of a server that has failed.
type breaker struct {
	failures  int
	successes int
	trips     int
	pause     time.Duration
	until     time.Time
	probes    int
	probed    time.Time
}

// open reports whether the server is left alone or probed.
func (b *breaker) open() bool { return b.pause > 0 }

// NewBreakers returns closed Breakers.
func NewBreakers(config BreakersConfig) *Breakers {
	if config.MaxOpenRatio == 0 {
		config.MaxOpenRatio = 0.5
	}
	return &Breakers{config: config, servers: make(map[string]*breaker)}
}

// SetServers states which backend servers the pool has, and forgets all others.
func (b *Breakers) SetServers(names []string) {
	b.size = len(names)
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
	}
	for name := range b.servers {
		if !listed[name] {
			delete(b.servers, name)
		}
	}
}

// Ready reports whether a request may be sent to the server now.
func (b *Breakers) Ready(now time.Time, server string) bool {
	held, ok := b.servers[server]
	if !ok || !held.open() {
		return true
	}
	if held.probes > 0 && now.Sub(held.probed) >= probeTimeout {
		b.trip(now, held)
	}
	return !now.Before(held.until) && held.probes < maxProbes
}

// Handle stands for a request that was sent to a server.
type Handle struct {
	server string
	trips  int
}

// Started tells that a request was sent to the server; Ended must follow with the handle.
func (b *Breakers) Started(now time.Time, server string) Handle {
	held, ok := b.servers[server]
	if !ok || !held.open() {
		return Handle{server: server}
	}
	held.probes++
	held.probed = now
	return Handle{server: server, trips: held.trips}
}

// Ended tells how a request has ended; one that was sent before the breaker last opened says nothing.
func (b *Breakers) Ended(now time.Time, handle Handle, succeeded bool) {
	held, ok := b.servers[handle.server]
	if !ok && (succeeded || handle.trips > 0) {
		return
	}
	if !ok {
		held = new(breaker)
		b.servers[handle.server] = held
	}
	if held.trips != handle.trips {
		return
	}
	held.probes = max(0, held.probes-1)
	switch {
	case !succeeded:
		b.fail(now, held)
	case held.open():
		held.successes++
	}
	if succeeded && (!held.open() || held.successes >= closeSuccesses) {
		delete(b.servers, handle.server)
	}
}

// fail counts a failure and opens the breaker after a failed probe or too many failures in a row.
func (b *Breakers) fail(now time.Time, held *breaker) {
	held.failures++
	if held.open() || held.failures >= tripFailures && b.mayOpen() {
		b.trip(now, held)
	}
}

// trip opens the breaker for twice the last pause, give or take a half.
func (b *Breakers) trip(now time.Time, held *breaker) {
	held.trips++
	held.pause = min(max(firstPause, 2*held.pause), maxPause)
	held.until = now.Add(held.pause/2 + time.Duration(b.config.Random.Int63n(int64(held.pause))))
	held.successes, held.probes = 0, 0
}

// mayOpen reports whether one more server may be left alone.
func (b *Breakers) mayOpen() bool {
	return float64(b.OpenCount()+1) <= b.config.MaxOpenRatio*float64(b.size)
}

// OpenCount returns the number of servers that are left alone or probed.
func (b *Breakers) OpenCount() (count int) {
	for _, held := range b.servers {
		if held.open() {
			count++
		}
	}
	return count
}
