package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled calls in the order of their times.
type clock struct {
	now      time.Duration
	queue    scheduledCallHeap
	sequence uint64
}

// scheduledCall is a function to run at a virtual time; sequence orders the calls of equal times as they were scheduled.
type scheduledCall struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// after schedules run to be called once, when the delay has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.sequence++
	heap.Push(&c.queue, scheduledCall{at: c.now + delay, sequence: c.sequence, run: run})
}

// every schedules run to be called repeatedly, for the first time when one interval has passed.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil runs the calls up to and including the time end.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(scheduledCall)
		c.now = next.at
		next.run()
	}
}

// wallTime returns the current virtual time as a time.Time, which the packages under test take.
func (c *clock) wallTime() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

// scheduledCallHeap is a heap.Interface with the earliest call at the top.
type scheduledCallHeap []scheduledCall

func (h scheduledCallHeap) Len() int { return len(h) }

func (h scheduledCallHeap) Less(i, j int) bool {
	if h[i].at != h[j].at {
		return h[i].at < h[j].at
	}
	return h[i].sequence < h[j].sequence
}

func (h scheduledCallHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push appends a call; it is called by heap.Push.
func (h *scheduledCallHeap) Push(x any) { *h = append(*h, x.(scheduledCall)) }

// Pop removes and returns the last call; it is called by heap.Pop.
func (h *scheduledCallHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}
