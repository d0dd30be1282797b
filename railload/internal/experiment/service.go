package experiment

import "time"

// service is a group of slots behind one queue without a bound.
type service struct {
	clock *clock
	slots int
	busy  int
	queue []call
}

// call is a request at a service.
type call struct {
	time time.Duration
	done func()
}

// submit runs done after the call has waited for a slot and used it for its time.
func (s *service) submit(c call) {
	s.queue = append(s.queue, c)
	s.begin()
}

// begin starts calls while slots are free.
func (s *service) begin() {
	for s.busy < s.slots && len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		s.busy++
		s.clock.after(next.time, func() {
			s.busy--
			next.done()
			s.begin()
		})
	}
}

// used returns the number of calls in progress, waiting ones included.
func (s *service) used() int { return s.busy + len(s.queue) }

// setSlots changes the number of slots; calls in progress go on.
func (s *service) setSlots(slots int) {
	s.slots = slots
	s.begin()
}
