package forward

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Limits of probing the engines of a stalled attempt.
const (
	// livenessTimeout is the timeout of one probe.
	livenessTimeout = 80 * time.Millisecond
	// livenessTTL is how long the result of a probe is reused. It is also the initial backoff between the probes of an
	// attempt.
	livenessTTL = 100 * time.Millisecond
	// livenessRate is the maximum number of probes per second, over all instances together.
	livenessRate = 150.0
	// livenessBurst is the maximum number of permits for probes that an instance accumulates.
	livenessBurst = 16.0
)

// probeResult holds the result of a probe, which may still be running.
type probeResult struct {
	startedAt time.Time
	done      chan struct{} // closed once state and err are set
	state     backend.State
	err       error
}

// wait waits for the end of the probe. It returns false if the context ends before: the request must then be answered at once.
func (r *probeResult) wait(ctx context.Context) (ended bool) {
	select {
	case <-r.done:
		return true
	case <-ctx.Done():
		return false
	}
}

// livenessProber checks whether engines respond. Concurrent requests share the result of a probe.
type livenessProber struct {
	config Config

	mu         sync.Mutex
	results    map[string]*probeResult
	permits    float64 // number of probes that the rate limit allows now
	refilledAt time.Time
}

func newLivenessProber(config Config) *livenessProber {
	return &livenessProber{config: config, results: make(map[string]*probeResult), permits: livenessBurst}
}

// probe returns the result of the last probe of a server if that probe started less than livenessTTL ago, and otherwise
// starts one. The probe may still be running. It returns false if the rate limit does not allow a new probe, or if the server
// wants no requests.
func (p *livenessProber) probe(ctx context.Context, server backend.Server) (result *probeResult, ok bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if result = p.results[server.ID]; result != nil && now.Sub(result.startedAt) < livenessTTL {
		return result, true
	}
	if p.config.Notices.Waiting(server) || !p.takePermit(now) {
		return nil, false
	}
	result = &probeResult{startedAt: now, done: make(chan struct{})}
	p.results[server.ID] = result
	ctx = context.WithoutCancel(ctx) // other requests wait for the result too
	go func() {
		defer close(result.done)
		defer func() {
			if reason := recover(); reason != nil {
				result.err = errPanicked
				p.config.recordPanic("the probe of a silent engine", reason)
			}
		}()
		ctx, cancel := p.config.Clock.WithTimeout(ctx, livenessTimeout)
		defer cancel()
		result.state, result.err = p.config.FetchState(ctx, server)
	}()
	return result, true
}

// takePermit reports whether the rate limit allows a probe, and if so counts it and deletes results older than a second.
func (p *livenessProber) takePermit(now time.Time) bool {
	if !p.refilledAt.IsZero() {
		instances := max(len(p.config.Catalog.Snapshot().Instances), 1)
		p.permits = min(p.permits+now.Sub(p.refilledAt).Seconds()*livenessRate/float64(instances), livenessBurst)
	}
	p.refilledAt = now
	if p.permits < 1 {
		return false
	}
	p.permits--
	for id, result := range p.results {
		if now.Sub(result.startedAt) > time.Second {
			delete(p.results, id)
		}
	}
	return true
}

// findFaultyStage probes those engines of a stalled attempt through which no request has made progress for minSilence. It
// returns the stage at fault: the one that the first engine is waiting for with this request, or else the first whose
// probe failed. It returns false if there is none, if all of several probes failed, or if the context ends before the probes.
func (f *Forwarder) findFaultyStage(ctx context.Context, j *job, a *streamAttempt, minSilence time.Duration) (stage int, ok bool) {
	results := make([]*probeResult, len(a.chain))
	for _, i := range f.selector.silentStages(a, minSilence) {
		results[i], _ = f.liveness.probe(ctx, a.chain[i].Server)
	}
	var failed []int
	responded := 0
	for i, result := range results {
		if result == nil {
			continue
		}
		if !result.wait(ctx) {
			return 0, false
		}
		if result.err == nil {
			responded++
		} else {
			failed = append(failed, i)
		}
	}
	if first := results[0]; first != nil && first.err == nil {
		if stage, ok = reportedStall(j, a, first.state); ok {
			f.selector.suspectEngine(a.service.Name, a.chain[stage].Server.Address)
			return stage, true
		}
	}
	// If all of several probes fail, this instance itself may be disconnected.
	if len(failed) == 0 || len(failed) > 1 && responded == 0 {
		return 0, false
	}
	for _, i := range failed {
		f.selector.probeFailed(a.chain[i].Server)
		probe := event.EngineProbe{Server: a.chain[i].Server.ID, Address: a.chain[i].Server.Address, Request: j.request.ID}
		f.config.Log.WithError(results[i].err).WithFields(probe.Fields()).Info(event.EngineNoResponse)
	}
	return failed[0], true
}

// reportedStall returns the stage that delays the request according to the state of the first engine, and false if there
// is none.
func reportedStall(j *job, a *streamAttempt, state backend.State) (stage int, ok bool) {
	for _, stall := range state.Stalled {
		if stall.Request != j.request.ID {
			continue
		}
		for i := range a.chain {
			if a.chain[i].Server.Address == stall.Address {
				return i, true
			}
		}
	}
	return 0, false
}
