package forward

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Bounds of asking engines for their speed.
const (
	// surveyEvery is the time between two looks at which engines are in doubt.
	surveyEvery = 50 * time.Millisecond
	// surveyTimeout is the longest time for an engine's answer.
	surveyTimeout = 200 * time.Millisecond
	// surveyRate is the number of questions a second that all instances ask together.
	surveyRate = 25.0
	// surveyBurst is the greatest number of questions that an instance saves up.
	surveyBurst = 8.0
)

// Prober asks engines whose events are slow for their speed, as a path does not tell which of its engines is the slow one, and
// engines that did not answer whether they are back.
type Prober struct {
	forwarder *Forwarder
	asking    sync.WaitGroup
	allowed   float64 // questions that may be asked now
}

// NewProber returns a Prober of the engines that the Forwarder uses.
func NewProber(forwarder *Forwarder) *Prober {
	return &Prober{forwarder: forwarder, allowed: surveyBurst}
}

// Serve asks until the context ends.
func (s *Prober) Serve(ctx context.Context) error {
	defer s.asking.Wait()
	ticker := time.NewTicker(surveyEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			s.step(ctx)
		}
	}
}

// step asks the engines that are in doubt now, as many as the rate allows.
func (s *Prober) step(ctx context.Context) {
	instances := float64(max(len(s.forwarder.config.Catalog.Snapshot().Instances), 1))
	s.allowed = min(s.allowed+surveyRate*surveyEvery.Seconds()/instances, surveyBurst)
	for _, server := range s.forwarder.fleet.doubtful(int(s.allowed)) {
		s.allowed--
		s.asking.Add(1)
		go s.ask(ctx, server)
	}
}

// ask takes one engine's report.
func (s *Prober) ask(ctx context.Context, server backend.Server) {
	defer s.asking.Done()
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	told := event.EngineProbe{Server: server.ID, Address: server.Address}
	log := s.forwarder.config.Log.WithFields(told.Fields())
	state, err := s.forwarder.config.FetchState(ctx, server)
	if err != nil {
		log.WithError(err).Info(event.EngineNoAnswer)
		s.forwarder.fleet.unanswered(server)
		return
	}
	told.Slowness = state.Slowness
	s.forwarder.config.Log.WithFields(told.Fields()).Info(event.EngineSlowness)
	// A report without a speed still shows that the engine lives.
	s.forwarder.fleet.told(server, state)
}
