package fakeengine

import (
	"container/heap"
	"context"
	"sync"
	"time"
)

// batcher runs jobs in steps of at most slots jobs each. Jobs with the greatest priority value run first.
type batcher struct {
	slots    int
	stepTime time.Duration

	mu       sync.Mutex
	waiting  jobs
	sequence uint64 // of the last job
	wake     chan struct{}
}

// job is one activation, or the prefill of one chunk of tokens, that is waiting for its step.
type job struct {
	priority    int    // the greatest value is the most urgent
	sequence    uint64 // orders jobs of the same priority by age
	prefillTime time.Duration
	done        chan struct{} // closed at the end of the job's step
}

func newBatcher(slots int, stepTime time.Duration) *batcher {
	return &batcher{slots: slots, stepTime: stepTime, wake: make(chan struct{}, 1)}
}

// run adds a job and waits until its step has ended. The prefill time, zero for an activation, makes the step longer. It returns an
// error if the context ends first.
func (b *batcher) run(ctx context.Context, priority int, prefillTime time.Duration) error {
	b.mu.Lock()
	b.sequence++
	j := &job{priority: priority, sequence: b.sequence, prefillTime: prefillTime, done: make(chan struct{})}
	heap.Push(&b.waiting, j)
	b.mu.Unlock()
	select {
	case b.wake <- struct{}{}:
	default:
	}
	select {
	case <-j.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop runs steps while there are jobs, and returns when there are none and the context has ended.
func (b *batcher) loop(ctx context.Context) {
	for {
		taken := b.takeJobs()
		if len(taken) == 0 {
			select {
			case <-b.wake:
				continue
			case <-ctx.Done():
				return
			}
		}
		duration := b.stepTime
		for _, j := range taken {
			duration += j.prefillTime
		}
		time.Sleep(duration)
		for _, j := range taken {
			close(j.done)
		}
	}
}

// takeJobs removes and returns the jobs of the next step.
func (b *batcher) takeJobs() []*job {
	b.mu.Lock()
	defer b.mu.Unlock()
	var taken []*job
	for len(taken) < b.slots && b.waiting.Len() > 0 {
		taken = append(taken, heap.Pop(&b.waiting).(*job))
	}
	return taken
}

// jobs is a heap of jobs, ordered by descending priority and then by age. It implements heap.Interface.
type jobs []*job

// Len returns the number of jobs.
func (j jobs) Len() int { return len(j) }

// Less reports whether job a runs before job b.
func (j jobs) Less(a, b int) bool {
	if j[a].priority != j[b].priority {
		return j[a].priority > j[b].priority
	}
	return j[a].sequence < j[b].sequence
}

// Swap swaps the jobs a and b.
func (j jobs) Swap(a, b int) { j[a], j[b] = j[b], j[a] }

// Push appends a job. It is called by heap.Push.
func (j *jobs) Push(x any) { *j = append(*j, x.(*job)) }

// Pop removes and returns the last job. It is called by heap.Pop.
func (j *jobs) Pop() any {
	old := *j
	last := old[len(old)-1]
	*j = old[:len(old)-1]
	return last
}
