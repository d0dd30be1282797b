package forward

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// checkStall is called while an attempt makes no progress. It looks for the engine that delays the attempt and reroutes the
// attempt around it. After the timeout, or if that engine is the first one, it starts a successor instead. It returns the time until
// the next check, or zero to give the attempt up once its successor has begun to respond.
func (f *Forwarder) checkStall(ctx context.Context, j *job, a *streamAttempt, timeout time.Duration) time.Duration {
	if j.successor != nil {
		return 0
	}
	if j.succession != nil {
		if begun, wait := f.checkSuccession(j); begun || wait > 0 {
			return wait
		}
	}
	waited := f.silence(a)
	if rest := firstCheck(j, a) - waited; rest > 0 {
		return rest
	}
	if waited >= timeout {
		f.replace(ctx, j, a, "")
		waited = f.silence(a)
		timeout = waited + checkInterval
	}
	if a.service.Engine == nil {
		return timeout - waited
	}
	if a.response == nil {
		f.selector.headersDelayed(a)
	}
	if a.reroutes >= maxReroutes {
		return min(checkInterval, timeout-waited)
	}
	minSilence := max(scale(j.route.GapTarget, gapCheckFactor), scale(f.selector.typicalGap(a), typicalGapFactor))
	if waited < minSilence {
		return minSilence - waited
	}
	stage, ok := f.stageToReplace(ctx, j, a, minSilence)
	if !ok {
		// Zero would give the attempt up, so wait at least a millisecond.
		return min(checkInterval, max(timeout-f.silence(a), time.Millisecond))
	}
	if stage > 0 {
		f.reroute(ctx, j, a, stage)
		return checkInterval
	}
	// The first engine cannot be replaced in its chain: another attempt must choose another one.
	f.replace(ctx, j, a, a.chain[0].Server.Address)
	return successorCheckInterval
}

// firstCheck returns the silence of an attempt after which its engines are checked.
func firstCheck(j *job, a *streamAttempt) time.Duration {
	if a.response == nil {
		return scale(j.route.LatencyTarget, headerCheckFactor)
	}
	return scale(j.route.GapTarget, gapCheckFactor)
}

// silence returns for how long an attempt has made no progress, without the time in which this process was held up.
func (f *Forwarder) silence(a *streamAttempt) time.Duration {
	return f.config.Clock.Now().Sub(a.progressAt)
}

// stageToReplace returns the stage of a silent attempt whose engine is known to be dead or, unless the backoff of the probes forbids
// them, is found to be at fault. It returns false if there is none.
func (f *Forwarder) stageToReplace(ctx context.Context, j *job, a *streamAttempt, minSilence time.Duration) (stage int, ok bool) {
	stage, ok = f.selector.deadStage(a, minSilence)
	if ok || time.Since(a.probedAt) < a.probeBackoff {
		return stage, ok
	}
	a.probedAt, a.probeBackoff = time.Now(), max(2*a.probeBackoff, livenessTTL)
	return f.findFaultyStage(ctx, j, a, minSilence)
}

// mayHaveSuccessor reports whether the route allows a successor of an attempt whose request may have been run. A successor that is
// being started gets none. The retry budget is not checked.
func (j *job) mayHaveSuccessor() bool {
	return !j.isSuccessor && j.hasAttemptsLeft() && j.resumable()
}

// maxReroutes is the maximum number of reroutes tried in one attempt at a stream.
const maxReroutes = 2

// maxRerouteTries is the maximum number of chains that one reroute tries. Engines that die at the same time are found one by
// one, and engines that many requests are moved to may have no memory left.
const maxRerouteTries = 4

// reroute instructs the first engine of an attempt to replace the engine of a stage, and counts the reroute. If another engine
// of the chain turns out to be dead, that is replaced as well; if an engine cannot take over, others are tried. If the reroute
// fails, the attempt stays on its chain.
func (f *Forwarder) reroute(ctx context.Context, j *job, a *streamAttempt, stage int) {
	a.reroutes++
	faulty := a.chain[stage].Server
	reroute := event.Reroute{Request: j.request.ID, FirstEngine: a.chain[0].Server.ID, SilentEngine: faulty.ID, Waited: f.silence(a)}
	excluded := f.excludedEngines(a)
	log := f.config.Log.WithFields(reroute.Fields()).WithFields(excludedEvent(excluded).Fields())
	ctx, cancel := f.config.Clock.WithTimeout(ctx, rerouteTimeout)
	defer cancel()
	f.selector.suspectEngine(a.service.Name, faulty.Address)
	plan := reroutePlan{replaced: []string{faulty.ID}, excluded: excluded.IDs}
	var err error
	for range maxRerouteTries {
		chain, ok := f.selector.planReroute(a, plan)
		if !ok {
			err = errNoChain
			break
		}
		if err = f.config.Reroute(ctx, a.chain[0].Server, j.request.ID, callStages(chain)); err == nil {
			f.selector.moveToChain(a, chain)
			j.chainText = describeChain(chain)
			log.WithField("rejected", len(plan.avoided)).Info(event.StreamRerouted)
			return
		}
		var rejection *call.StageRejectedError
		if !errors.As(err, &rejection) {
			break
		}
		if dead, found := plan.reject(a.chain, chain, rejection.Address); found {
			f.selector.probeFailed(dead)
		}
	}
	log.WithError(err).WithField("rejected", len(plan.avoided)).Info(event.StreamNotRerouted)
}

// reroutePlan says which engines of a chain a reroute replaces and which others it must not use.
type reroutePlan struct {
	replaced []string // IDs of engines of the chain
	avoided  []string // IDs of engines that cannot take over
	excluded []string // IDs of engines that are leaving or want no requests
}

// reject adds the engine at the address, because of which the planned chain was rejected. An engine of the current chain that
// does not answer is dead: it is replaced as well, and returned. A new engine that cannot take over is avoided. If the address
// is that of neither, all new engines are avoided.
func (p *reroutePlan) reject(current, planned pipeline.Chain, address string) (dead backend.Server, found bool) {
	used := make(map[string]bool, len(current))
	for _, stage := range current {
		used[stage.Server.ID] = true
		if stage.Server.Address == address && !slices.Contains(p.replaced, stage.Server.ID) {
			p.replaced = append(p.replaced, stage.Server.ID)
			return stage.Server, true
		}
	}
	var added []string
	for _, stage := range planned {
		if !used[stage.Server.ID] {
			added = append(added, stage.Server.ID)
			if stage.Server.Address == address {
				added = added[len(added)-1:]
				break
			}
		}
	}
	p.avoided = append(p.avoided, added...)
	return backend.Server{}, false
}

// recordFailedStreamAttempt logs a failed attempt and marks the server at fault as suspected. The address is that of the engine at
// fault, empty if unknown.
func (f *Forwarder) recordFailedStreamAttempt(ctx context.Context, j *job, a *streamAttempt, address string, cause error) {
	address = f.suspect(ctx, j, a, address)
	attempt := event.FailedAttempt{
		Request: j.request.ID, Server: a.chain[0].Server.ID, FaultyAddress: address, Chain: j.chainText, MayHaveRun: j.mayHaveRun, Elapsed: time.Since(j.startedAt),
	}
	f.config.Log.WithError(cause).WithFields(attempt.Fields()).WithFields(j.excluded.Fields()).Info(event.AttemptFailed)
}

// suspect marks the server at fault for a failed or silent attempt as suspected: the plain server, which the request then avoids, or
// the engine at the address. If the address of an engine is empty, it is replaced by that of the engine that the first engine is
// waiting for, or else of the first engine. No server is marked if the attempt was canceled. It returns the address.
func (f *Forwarder) suspect(ctx context.Context, j *job, a *streamAttempt, address string) (faultyAddress string) {
	if canceled(ctx) {
		return address
	}
	first := a.chain[0].Server
	if a.service.Engine == nil {
		f.selector.suspectPlain(first.ID)
		j.avoid = append(j.avoid, first.ID)
		return address
	}
	if address == "" {
		address = f.faultyEngine(ctx, first)
	}
	f.selector.suspectEngine(a.service.Name, address)
	return address
}

// canceled reports whether the context of an attempt was canceled through no fault of its server: because the caller disconnected, or
// because the attempt is a successor that is not needed.
func canceled(ctx context.Context) bool {
	cause := context.Cause(ctx)
	return errors.Is(ctx.Err(), context.Canceled) && !errors.Is(cause, errSuccessorLate) && !errors.Is(cause, errNotBegun)
}

// stallQueryTimeout is the timeout of fetching the first engine's state after a failure.
const stallQueryTimeout = 150 * time.Millisecond

// faultyEngine returns the address of an engine that delays requests according to the first engine's state, or the first
// engine's address if the state cannot be fetched or names none, or if the engine wants no requests.
func (f *Forwarder) faultyEngine(ctx context.Context, first backend.Server) string {
	if f.config.Notices.Waiting(first) {
		return first.Address
	}
	ctx, cancel := f.config.Clock.WithTimeout(ctx, stallQueryTimeout)
	defer cancel()
	state, err := f.config.FetchState(ctx, first)
	if err != nil {
		probe := event.EngineProbe{Server: first.ID, Address: first.Address}
		f.config.Log.WithError(err).WithFields(probe.Fields()).Info(event.EngineNoResponse)
		return first.Address
	}
	if len(state.Stalled) == 0 {
		return first.Address
	}
	return state.Stalled[0].Address
}
