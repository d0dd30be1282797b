package forward

import (
	"context"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
)

// checkStall looks for the engine that holds up a run and moves the run past it; it returns how long to wait on, zero to give
// the run up.
func (f *Forwarder) checkStall(ctx context.Context, j *job, r *run, timeout time.Duration) time.Duration {
	waited := time.Since(r.since)
	if waited >= timeout {
		if f.mayStartAgain(j) {
			return 0
		}
		timeout = waited + checkEvery
	}
	if r.service.Engine == nil {
		return timeout - waited
	}
	if r.answer == nil {
		f.fleet.waited(r)
	}
	if r.moves >= maxMoves {
		return min(checkEvery, timeout-waited)
	}
	least := max(part(j.route.GapTarget, pauseCheck), part(f.fleet.pause(r), unusualPause))
	if waited < least {
		return least - waited
	}
	stage, ok := f.fleet.dead(r, least)
	if !ok && time.Since(r.examined) >= r.again {
		r.examined, r.again = time.Now(), max(2*r.again, examineEvery)
		stage, ok = f.examine(ctx, j, r, least)
	}
	if !ok {
		return min(checkEvery, max(timeout-time.Since(r.since), time.Millisecond))
	}
	if stage > 0 {
		f.move(ctx, j, r, stage)
		return checkEvery
	}
	if !f.mayStartAgain(j) {
		return checkEvery
	}
	r.culprit = r.path[0].Server.Address
	return 0
}

// mayStartAgain reports whether the stream could be sent to one more path, as far as its route says.
func (f *Forwarder) mayStartAgain(j *job) bool {
	return j.sent < j.route.MaxAttempts && j.route.Resumable
}

// maxMoves is how often a run is moved past an engine.
const maxMoves = 2

// move orders the first engine to go on without the engine of a stage.
func (f *Forwarder) move(ctx context.Context, j *job, r *run, stage int) {
	r.moves++
	culprit := r.path[stage].Server
	told := event.Reroute{Request: j.request.ID, FirstEngine: r.path[0].Server.ID, SilentEngine: culprit.ID, Waited: time.Since(r.since)}
	log := f.config.Log.WithFields(told.Fields())
	path, ok := f.fleet.reroute(r, stage)
	if !ok {
		log.WithError(errNoPath).Info(event.StreamNotRerouted)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repathTimeout)
	defer cancel()
	if err := f.config.Reroute(ctx, r.path[0].Server, j.request.ID, hops(path)); err != nil {
		log.WithError(err).Info(event.StreamNotRerouted)
		return
	}
	f.fleet.moved(r, path)
	j.path = describePath(path)
	log.Info(event.StreamRerouted)
}

// blame leaves the engine at fault alone for a while, the first one if none is named.
func (f *Forwarder) blame(ctx context.Context, j *job, r *run, address string, cause error) {
	first := r.path[0].Server
	if r.service.Engine == nil {
		f.fleet.suspectPlain(first.ID)
		j.avoid = append(j.avoid, first.ID)
	} else {
		if address == "" {
			address = f.stalled(ctx, first)
		}
		f.fleet.suspectEngine(r.service.Name, address)
	}
	told := event.FailedAttempt{
		Request: j.request.ID, Server: first.ID, FaultyAddress: address, Path: j.path, MayHaveRun: j.ran, Elapsed: time.Since(j.began),
	}
	f.config.Log.WithError(cause).WithFields(told.Fields()).Info(event.AttemptFailed)
}

// stalledTimeout is the longest time for asking who holds a request up.
const stalledTimeout = 150 * time.Millisecond

// stalled returns the address of an engine that holds requests up, the first one's if it does not say.
func (f *Forwarder) stalled(ctx context.Context, first backend.Server) string {
	ctx, cancel := context.WithTimeout(ctx, stalledTimeout)
	defer cancel()
	state, err := f.config.FetchState(ctx, first)
	if err != nil {
		told := event.EngineProbe{Server: first.ID, Address: first.Address}
		f.config.Log.WithError(err).WithFields(told.Fields()).Info(event.EngineNoAnswer)
		return first.Address
	}
	if len(state.Stalled) == 0 {
		return first.Address
	}
	return state.Stalled[0].Address
}
