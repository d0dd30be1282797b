package experiment

import "time"

// worker is a model engine that runs up to slots activations at once, in steps of equal time.
type worker struct {
	clock   *clock
	slots   int
	step    time.Duration
	streams int
	waiting []func()
	busy    bool
}

// submit runs done after the activation has been through one step.
func (e *worker) submit(done func()) {
	e.waiting = append(e.waiting, done)
	if !e.busy {
		e.begin()
	}
}

// begin starts a step with the oldest activations.
func (e *worker) begin() {
	count := min(e.slots, len(e.waiting))
	if count == 0 {
		e.busy = false
		return
	}
	e.busy = true
	batch := append([]func(){}, e.waiting[:count]...)
	e.waiting = append(e.waiting[:0], e.waiting[count:]...)
	e.clock.after(e.step, func() {
		for _, done := range batch {
			done()
		}
		e.begin()
	})
}

// rate returns the greatest number of activations in a second.
func (e *worker) rate() float64 { return float64(e.slots) / e.step.Seconds() }
