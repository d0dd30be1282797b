package experiment

import (
	"container/heap"
	"time"
)

// clock runs events in the order of their virtual times.
type clock struct {
	now   time.Duration
	queue events
	order uint64
}

// event is a step of a run.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// after runs the step once the time has passed.
func (c *clock) after(delay time.Duration, run func()) {
	c.order++
	heap.Push(&c.queue, event{at: c.now + delay, order: c.order, run: run})
}

// every runs the step at each multiple of the interval.
func (c *clock) every(interval time.Duration, run func()) {
	c.after(interval, func() {
		run()
		c.every(interval, run)
	})
}

// runUntil runs events until the time.
func (c *clock) runUntil(end time.Duration) {
	for len(c.queue) > 0 && c.queue[0].at <= end {
		next := heap.Pop(&c.queue).(event)
		c.now = next.at
		next.run()
	}
}

// wall returns the current virtual time in the form that the decisions take.
func (c *clock) wall() time.Time { return time.Unix(1_000_000, 0).Add(c.now) }

// events is a heap with the earliest event at the top.
type events []event

func (e events) Len() int { return len(e) }

func (e events) Less(i, j int) bool {
	if e[i].at != e[j].at {
		return e[i].at < e[j].at
	}
	return e[i].order < e[j].order
}

func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push adds an event; heap.Push calls it.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop removes the last event; heap.Pop calls it.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}
