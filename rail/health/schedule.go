package health

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Interval is the mean time between probes of one server.
	Interval time.Duration
	// RetryInterval is the mean time after which a failed probe is repeated, before the backoff begins.
	RetryInterval time.Duration
	// BackoffAfter is the number of consecutive failures from which the mean time between probes is Interval instead of
	// RetryInterval. Each further failure doubles the time, up to MaxBackoff.
	BackoffAfter int
	// MaxBackoff is the maximum mean time between probes of a server that fails.
	MaxBackoff time.Duration
	// Rate is the maximum number of probes per second of all servers together.
	Rate float64
	// Random is the source of the jitter, which lengthens or shortens the time between probes by up to a quarter, and of the
	// times of the first probes.
	Random *rand.Rand
}

// DefaultScheduleConfig returns the default configuration: a probe of each server every 500 ms, and at most 50 probes
// per second.
func DefaultScheduleConfig(random *rand.Rand) ScheduleConfig {
	return ScheduleConfig{
		Interval: 500 * time.Millisecond, RetryInterval: 100 * time.Millisecond, BackoffAfter: 3,
		MaxBackoff: 5 * time.Second, Rate: 50, Random: random,
	}
}

// Schedule determines which server to probe next; each server has at most one outstanding probe.
type Schedule struct {
	config  ScheduleConfig
	entries map[string]*scheduledServer
	queue   queue
	// nextProbe is the earliest time at which the rate allows the next probe.
	nextProbe time.Time
}

// scheduledServer is one server of a Schedule.
type scheduledServer struct {
	name string
	// due is the time of the next probe.
	due time.Time
	// failures is the number of consecutive failed probes.
	failures int
	// index is the position in the queue, or -1 while a probe is outstanding.
	index int
}

// NewSchedule returns a Schedule without servers.
func NewSchedule(config ScheduleConfig) *Schedule {
	return &Schedule{config: config, entries: make(map[string]*scheduledServer)}
}

// SetRate sets the maximum number of probes per second of all servers together.
func (s *Schedule) SetRate(rate float64) { s.config.Rate = rate }

// SetServers replaces the servers. New servers are due at random times within one interval; others keep their state.
func (s *Schedule) SetServers(names []string, now time.Time) {
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		if s.entries[name] == nil {
			added := &scheduledServer{name: name, due: now.Add(time.Duration(s.config.Random.Int64N(int64(s.config.Interval))))}
			s.entries[name] = added
			heap.Push(&s.queue, added)
		}
	}
	for name, server := range s.entries {
		if listed[name] {
			continue
		}
		delete(s.entries, name)
		if server.index >= 0 {
			heap.Remove(&s.queue, server.index)
		}
	}
}

// Next returns the name of the server to probe now, or an empty name and the time to wait before calling Next again.
//
// Complete must be called when the probe has ended.
func (s *Schedule) Next(now time.Time) (name string, wait time.Duration) {
	if len(s.queue) == 0 {
		return "", s.config.Interval
	}
	first := s.queue[0]
	if ready := later(first.due, s.nextProbe); now.Before(ready) {
		return "", ready.Sub(now)
	}
	heap.Pop(&s.queue)
	first.index = -1
	s.nextProbe = later(s.nextProbe, now).Add(time.Duration(float64(time.Second) / s.config.Rate))
	return first.name, 0
}

// Complete ends the outstanding probe of the server and schedules the next one; ok reports whether the probe succeeded.
func (s *Schedule) Complete(name string, ok bool, now time.Time) {
	server := s.entries[name]
	if server == nil || server.index >= 0 {
		return
	}
	server.failures++
	if ok {
		server.failures = 0
	}
	server.due = now.Add(s.delay(server.failures))
	heap.Push(&s.queue, server)
}

// delay returns the time until the next probe after the given number of consecutive failures, with jitter.
func (s *Schedule) delay(failures int) time.Duration {
	mean := s.config.Interval
	switch {
	case failures == 0:
	case failures < s.config.BackoffAfter:
		mean = s.config.RetryInterval
	default:
		for range failures - s.config.BackoffAfter {
			mean = min(2*mean, s.config.MaxBackoff)
		}
	}
	return mean*3/4 + time.Duration(s.config.Random.Int64N(int64(mean/2)))
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// queue is a heap of the servers without an outstanding probe, with the one that is due first at the top.
type queue []*scheduledServer

// Len returns the number of servers; package heap calls it.
func (q queue) Len() int { return len(q) }

// Less reports whether i is due before j; package heap calls it.
func (q queue) Less(i, j int) bool { return q[i].due.Before(q[j].due) }

// Swap swaps two servers; package heap calls it.
func (q queue) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

// Push adds a server; package heap calls it.
func (q *queue) Push(x any) {
	added := x.(*scheduledServer)
	added.index = len(*q)
	*q = append(*q, added)
}

// Pop removes the last server; package heap calls it.
func (q *queue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
