package fakeengine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batch runs activations in steps, up to slots of them at once, the highest priority first.
type batch struct {
	slots int
	step  time.Duration

	mu      sync.Mutex
	waiting jobs
	order   uint64
	wake    chan struct{}
}

// job is one activation that waits for its step.
type job struct {
	priority int
	order    uint64
	prefill  time.Duration
	done     chan struct{}
}

func newBatch(slots int, step time.Duration) *batch {
	return &batch{slots: slots, step: step, wake: make(chan struct{}, 1)}
}

// run waits until the activation has been through one step, which its prefill makes longer.
func (b *batch) run(ctx context.Context, priority int, prefill time.Duration) error {
	b.mu.Lock()
	b.order++
	waiting := &job{priority: priority, order: b.order, prefill: prefill, done: make(chan struct{})}
	heap.Push(&b.waiting, waiting)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-waiting.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop runs steps until the context ends.
func (b *batch) loop(ctx context.Context) {
	for {
		current := b.take()
		if len(current) == 0 {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		step := b.step
		for _, running := range current {
			step += running.prefill
		}
		time.Sleep(step)
		for _, finished := range current {
			close(finished.done)
		}
	}
}

func (b *batch) take() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var current []*job
	for len(current) < b.slots && b.waiting.Len() > 0 {
		current = append(current, heap.Pop(&b.waiting).(*job))
	}
	return current
}

// jobs is a heap with the highest priority, then the oldest, at the top.
type jobs []*job

func (j jobs) Len() int { return len(j) }

func (j jobs) Less(a, b int) bool {
	if j[a].priority != j[b].priority {
		return j[a].priority > j[b].priority
	}
	return j[a].order < j[b].order
}

func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }

// Push adds a job; heap.Push calls it.
func (j *jobs) Push(x any) { *j = append(*j, x.(*job)) }

// Pop removes the last job; heap.Pop calls it.
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	*j = old[:len(old)-1]
	return last
}
