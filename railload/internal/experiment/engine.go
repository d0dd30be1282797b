package experiment

import "time"

// simulatedEngine is an engine that runs up to slots activations together in each step; all steps take stepTime.
type simulatedEngine struct {
	clock    *clock
	slots    int
	stepTime time.Duration
	// requests is the number of requests in progress whose chain includes the engine.
	requests int
	waiting  []func()
	busy     bool
}

// submit queues an activation; done runs at the end of the step that the activation is part of.
func (e *simulatedEngine) submit(done func()) {
	e.waiting = append(e.waiting, done)
	if !e.busy {
		e.startStep()
	}
}

// startStep starts a step with the activations that have waited longest, or marks the engine idle if none wait.
func (e *simulatedEngine) startStep() {
	count := min(e.slots, len(e.waiting))
	if count == 0 {
		e.busy = false
		return
	}
	e.busy = true
	batch := append([]func(){}, e.waiting[:count]...)
	e.waiting = append(e.waiting[:0], e.waiting[count:]...)
	e.clock.after(e.stepTime, func() {
		for _, done := range batch {
			done()
		}
		e.startStep()
	})
}

// maxRate returns the maximum number of activations per second.
func (e *simulatedEngine) maxRate() float64 { return float64(e.slots) / e.stepTime.Seconds() }
