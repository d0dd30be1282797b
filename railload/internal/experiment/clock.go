package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled events in the order of their times.
type clock struct {
	now      time.Duration
	queue    eventHeap
	sequence uint64
}

// event is a function to run at a virtual time; sequence orders the events of equal times as they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules run to be called once, when the delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, event{at: c.now + delay, sequence: c.sequence, run: run})
}

// every schedules run to be called repeatedly, for the first time when one interval has passed.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil runs the events up to and including the time end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

// wallTime returns the current virtual time as a time.Time, as the simulated packages take it.
func (c *clock) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

// eventHeap is a heap.Interface with the earliest event at the top.
type eventHeap []event

func (e eventHeap) Len() int { return len(e) }

func (e eventHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e eventHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends an event; it is called by heap.Push.
func (e *eventHeap) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes and returns the last event; it is called by heap.Pop.
func (e *eventHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
