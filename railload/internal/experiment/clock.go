package experiment

import (
	"container/heap"
	"time"
)

// clock is a virtual clock that runs scheduled calls in the order of their times.
type clock struct {
	now      time.Duration
	queue    callHeap
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

// callHeap is a heap.Interface with the earliest call at the top.
type callHeap []scheduledCall

func (e callHeap) Len() int { return len(e) }

func (e callHeap) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].sequence < e[j].sequence
}

func (e callHeap) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push appends a call; it is called by heap.Push.
func (e *callHeap) Push(x any) { *e = append(*e, x.(scheduledCall)) }

// Pop removes and returns the last call; it is called by heap.Pop.
func (e *callHeap) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
