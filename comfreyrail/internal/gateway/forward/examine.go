package forward

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Bounds of examining the engines of a silent run.
const (
	// examineTimeout is the longest time for an engine's answer.
	examineTimeout = 80 * time.Millisecond
	// examineEvery is the time for which an answer holds.
	examineEvery = 100 * time.Millisecond
	// examineRate is the number of questions a second that all instances ask together.
	examineRate = 150.0
	// examineBurst is the greatest number of questions that an instance saves up.
	examineBurst = 16.0
)

// finding is what an engine answered, or is about to answer.
type finding struct {
	at    time.Time
	done  chan struct{} // closed once state and err are set
	state backend.State
	err   error
}

// examiner asks engines whether they live; requests that ask at the same time share an answer.
type examiner struct {
	config Config

	mu       sync.Mutex
	findings map[string]*finding
	allowed  float64 // questions that may be asked now
	refilled time.Time
}

func newExaminer(config Config) *examiner {
	return &examiner{config: config, findings: make(map[string]*finding), allowed: examineBurst}
}

// ask returns the newest finding of a server, which may be on its way, and false if no more may be asked now.
func (e *examiner) ask(ctx context.Context, server backend.Server) (found *finding, ok bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	if found = e.findings[server.ID]; found != nil && now.Sub(found.at) < examineEvery {
		return found, true
	}
	if !e.allow(now) {
		return nil, false
	}
	found = &finding{at: now, done: make(chan struct{})}
	e.findings[server.ID] = found
	ctx = context.WithoutCancel(ctx) // other requests wait for the answer too
	go func() {
		defer close(found.done)
		ctx, cancel := context.WithTimeout(ctx, examineTimeout)
		defer cancel()
		found.state, found.err = e.config.FetchState(ctx, server)
	}()
	return found, true
}

// allow counts a question, and forgets old findings now and then.
func (e *examiner) allow(now time.Time) bool {
	if !e.refilled.IsZero() {
		instances := max(len(e.config.Catalog.Snapshot().Instances), 1)
		e.allowed = min(e.allowed+now.Sub(e.refilled).Seconds()*examineRate/float64(instances), examineBurst)
	}
	e.refilled = now
	if e.allowed < 1 {
		return false
	}
	e.allowed--
	for id, found := range e.findings {
		if now.Sub(found.at) > time.Second {
			delete(e.findings, id)
		}
	}
	return true
}

// examine asks the engines of a silent run through which nothing passes, and returns the stage that is to blame: the one
// that the first engine names, or else the first that does not answer.
func (f *Forwarder) examine(ctx context.Context, j *job, r *run, least time.Duration) (stage int, ok bool) {
	findings := make([]*finding, len(r.path))
	for _, i := range f.fleet.mute(r, least) {
		findings[i], _ = f.examiner.ask(ctx, r.path[i].Server)
	}
	var silent []int
	answered := 0
	for i, found := range findings {
		if found == nil {
			continue
		}
		<-found.done
		if found.err == nil {
			answered++
		} else {
			silent = append(silent, i)
		}
	}
	if first := findings[0]; first != nil && first.err == nil {
		if stage, ok = stalledStage(j, r, first.state); ok {
			f.fleet.suspectEngine(r.service.Name, r.path[stage].Server.Address)
			return stage, true
		}
	}
	// Where none of several answers, this instance may be the one that is cut off.
	if len(silent) == 0 || len(silent) > 1 && answered == 0 {
		return 0, false
	}
	for _, i := range silent {
		f.fleet.unanswered(r.path[i].Server)
		told := event.EngineProbe{Server: r.path[i].Server.ID, Address: r.path[i].Server.Address, Request: j.request.ID}
		f.config.Log.WithError(findings[i].err).WithFields(told.Fields()).Info(event.EngineNoAnswer)
	}
	return silent[0], true
}

// stalledStage returns the stage that the first engine says holds up the request.
func stalledStage(j *job, r *run, state backend.State) (stage int, ok bool) {
	for _, stall := range state.Stalled {
		if stall.Request != j.request.ID {
			continue
		}
		for i := range r.path {
			if r.path[i].Server.Address == stall.Address {
				return i, true
			}
		}
	}
	return 0, false
}
