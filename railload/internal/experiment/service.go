package experiment

import "time"

// simulatedService is a service that runs up to slots calls at once and queues the others without a limit.
type simulatedService struct {
	clock   *clock
	slots   int
	running int
	queue   []call
}

// call is one call of a service; it occupies a slot for serviceTime, and then done runs.
type call struct {
	serviceTime time.Duration
	done        func()
}

// submit queues the call and starts it when a slot is free.
func (s *simulatedService) submit(c call) {
	s.queue = append(s.queue, c)
	s.startCalls()
}

// startCalls starts queued calls in order while slots are free.
func (s *simulatedService) startCalls() {
	for s.running < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		s.clock.after(next.serviceTime, func() {
			s.running--
			next.done()
			s.startCalls()
		})
	}
}

// inFlight returns the number of calls that run or are queued.
func (s *simulatedService) inFlight() int { return s.running + len(s.queue) }

// setSlots changes the number of slots; calls that already run continue even if there are fewer slots.
func (s *simulatedService) setSlots(slots int) {
	s.slots = slots
	s.startCalls()
}
