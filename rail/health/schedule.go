package health

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// ScheduleConfig configures a Schedule.
type ScheduleConfig struct {
	// Interval is the mean time between status calls to one server.
	Interval time.Duration
	// RetryInterval is the time after which a failed call is repeated.
	RetryInterval time.Duration
	// BackoffAfter is the number of failures in a row from which calls back off.
	BackoffAfter int
	// MaxBackoff is the greatest mean time between calls to a server that fails.
	MaxBackoff time.Duration
	// Rate is the greatest number of calls per second to all servers.
	Rate float64
	// Random jitters the times.
	Random *rand.Rand
}

// DefaultScheduleConfig returns the usual configuration.
func DefaultScheduleConfig(random *rand.Rand) ScheduleConfig {
	return ScheduleConfig{
		Interval: 500 * time.Millisecond, RetryInterval: 100 * time.Millisecond, BackoffAfter: 3,
		MaxBackoff: 5 * time.Second, Rate: 50, Random: random,
	}
}

// Schedule says which server to ask next; each has one outstanding call at most.
type Schedule struct {
	config  ScheduleConfig
	entries map[string]*entry
	queue   queue
	// free is the time from which the rate allows the next call.
	free time.Time
}

// entry is one server of a schedule.
type entry struct {
	name     string
	due      time.Time
	failures int
	// index is the place in the queue, negative while a call is outstanding.
	index int
}

// NewSchedule returns a Schedule without servers.
func NewSchedule(config ScheduleConfig) *Schedule {
	return &Schedule{config: config, entries: make(map[string]*entry)}
}

// SetRate changes the greatest number of calls per second to all servers.
func (s *Schedule) SetRate(rate float64) { s.config.Rate = rate }

// SetServers replaces the servers; new ones are due within one interval.
func (s *Schedule) SetServers(names []string, now time.Time) {
	wanted := make(map[string]bool, len(names))
	for _, name := range names {
		wanted[name] = true
		if s.entries[name] == nil {
			added := &entry{name: name, due: now.Add(time.Duration(s.config.Random.Int64N(int64(s.config.Interval))))}
			s.entries[name] = added
			heap.Push(&s.queue, added)
		}
	}
	for name, known := range s.entries {
		if wanted[name] {
			continue
		}
		delete(s.entries, name)
		if known.index >= 0 {
			heap.Remove(&s.queue, known.index)
		}
	}
}

// Next returns the server to ask now, or the time to wait before another try.
func (s *Schedule) Next(now time.Time) (name string, wait time.Duration) {
	if len(s.queue) == 0 {
		return "", s.config.Interval
	}
	first := s.queue[0]
	if ready := later(first.due, s.free); now.Before(ready) {
		return "", ready.Sub(now)
	}
	heap.Pop(&s.queue)
	first.index = -1
	s.free = later(s.free, now).Add(time.Duration(float64(time.Second) / s.config.Rate))
	return first.name, 0
}

// Complete ends the outstanding call to the server.
func (s *Schedule) Complete(name string, ok bool, now time.Time) {
	known := s.entries[name]
	if known == nil || known.index >= 0 {
		return
	}
	known.failures++
	if ok {
		known.failures = 0
	}
	known.due = now.Add(s.pause(known.failures))
	heap.Push(&s.queue, known)
}

// pause returns the time to the next call after so many failures in a row.
func (s *Schedule) pause(failures int) time.Duration {
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

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// queue is a heap of the servers without an outstanding call, the one due first at the top.
type queue []*entry

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
	added := x.(*entry)
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
