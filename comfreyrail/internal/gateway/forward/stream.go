package forward

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/headroom"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Times of a stream, as parts of the wanted time to the first event and of the longest pause that is on time.
const (
	// firstSilence is the part of the wanted time to the first event after which the engines are looked at.
	firstSilence = 0.4
	// firstPatience is how many times that time the first event may take before another path is tried.
	firstPatience = 3.0
	// pauseSilence is the part of the longest pause after which the engines are looked at.
	pauseSilence = 0.45
	// unusualPause is how many times the usual pause of a path, whose engines may be known to be slow, a pause may last before
	// the engines are looked at.
	unusualPause = 1.5
	// pausePatience is how many times that pause may last before another path is tried.
	pausePatience = 6.0
	// leastPatience bounds how soon another path is tried.
	leastPatience = 300 * time.Millisecond
	// silenceStep is the time between two looks at the engines.
	silenceStep = 30 * time.Millisecond
	// roomPause is the time after which a stream that has begun looks again for a path with room.
	roomPause = 40 * time.Millisecond
	// repathTimeout is the longest time for the order to go on along other engines.
	repathTimeout = 100 * time.Millisecond
)

// errNoPath means that no path with room covers the layers.
const errNoPath = errors.ConstError("no path")

// run is one run of a stream at one path.
type run struct {
	service *route.Service
	path    pipeline.Path
	cost    pipeline.Request
	holder  headroom.Holder
	answer  *upstream.Answer
	since   time.Time // when it began, or made progress last
	moves   int

	examined time.Time     // when its engines were examined last
	again    time.Duration // time after which they are examined again
	culprit  string        // address of the engine for which it was given up, empty if none is known
}

// stream passes on a request whose answer is a stream of events.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, j *job) error {
	out := &events{w: w, lastID: j.request.LastEvent}
	for {
		r, err := f.begin(ctx, j, out.lastID)
		if err == nil && r.answer.Status != http.StatusOK {
			return f.relayFailure(w, j, out, r)
		}
		if err == nil {
			err = f.relay(ctx, j, out, r)
			f.end(r, err)
		}
		switch {
		case err == nil:
			return nil
		case ctx.Err() != nil && !out.begun:
			return j.expired()
		case ctx.Err() != nil:
			return err
		case errors.Is(err, errNoPath) && !out.begun:
			return j.exhausted("no-room")
		case errors.Is(err, errNoPath):
			_ = pause.For(ctx, roomPause)
		case !f.mayGoOn(j):
			if out.begun {
				return err
			}
			return j.exhausted("stream-failed")
		}
	}
}

// mayGoOn reports whether the stream may be sent to one more path.
func (f *Forwarder) mayGoOn(j *job) bool {
	if j.sent >= j.route.Attempts || j.ran && !j.route.Resumable {
		return false
	}
	return f.config.Retries.Allow(j.service)
}

// relayFailure gives the caller the answer of a server that ran the request and failed.
func (f *Forwarder) relayFailure(w http.ResponseWriter, j *job, out *events, r *run) error {
	defer f.end(r, nil)
	if out.begun {
		return errors.Errorf("the server answered with status %d", r.answer.Status)
	}
	body, err := io.ReadAll(io.LimitReader(r.answer, maxAnswer))
	if err != nil {
		return j.exhausted("stream-failed")
	}
	return (&whole{status: r.answer.Status, header: r.answer.Header, body: body}).send(w)
}

// begin sends the request along a path and waits for the beginning of the answer.
func (f *Forwarder) begin(ctx context.Context, j *job, lastID string) (r *run, err error) {
	service, servers, snapshot := f.pickService(j)
	r = &run{service: service, cost: j.cost(service), holder: headroom.Holder{Workspace: j.space, Priority: j.priority}}
	if service.Engine == nil {
		server, ok := f.fleet.choosePlain(servers, j.avoid)
		if !ok {
			return nil, errNoPath
		}
		r.path = pipeline.Path{{Server: server}}
	} else {
		path, ok := f.fleet.choosePath(service, snapshot, r.cost, r.holder)
		if !ok {
			return nil, errNoPath
		}
		r.path = path
	}
	if j.sent == 0 {
		f.config.Retries.Count(service.Name)
	}
	j.sent++
	if err = f.open(ctx, j, r, lastID); err != nil {
		f.end(r, err)
		return nil, err
	}
	return r, nil
}

// cost returns what the request asks of engines.
func (j *job) cost(service *route.Service) pipeline.Request {
	cost := pipeline.Request{Prompt: j.request.Prompt, Answer: j.request.Hint, Avoid: j.avoid}
	if cost.Answer == 0 {
		cost.Answer = j.request.MaxAnswer
		if service.Engine != nil {
			cost.Answer = min(service.Engine.UsualAnswer, max(j.request.MaxAnswer, 1))
		}
	}
	return cost
}

// open sends the request to the first server of the run's path.
func (f *Forwarder) open(ctx context.Context, j *job, r *run, lastID string) (err error) {
	first := r.path[0].Server
	j.last, j.path = first.ID, describePath(r.path)
	request := f.outgoing(j, first, nil, lastID)
	if r.service.Engine != nil {
		request = f.outgoing(j, first, hops(r.path), lastID)
	}
	r.since = time.Now()
	request.Patience = part(j.route.Target, firstSilence)
	request.Silent = func() time.Duration {
		return f.silent(ctx, j, r, max(part(j.route.Target, firstPatience), leastPatience))
	}
	answer, err := f.config.Upstream.Send(ctx, request)
	if err != nil {
		var failure *upstream.Error
		j.ran = j.ran || !errors.As(err, &failure) || failure.Sent
		if failure != nil && !failure.Sent {
			r.culprit = first.Address
		}
		f.blame(ctx, j, r, r.culprit, err)
		return err
	}
	r.answer = answer
	told := f.config.ReadAnswer(answer.Status, answer.Header)
	switch {
	case told.ID != j.request.ID:
		answer.Discard()
		j.ran = true
		return errForeign
	case told.NotRun:
		answer.Discard()
		f.blame(ctx, j, r, told.Fault, errors.Errorf("status %d: the path did not run the request", answer.Status))
		return errors.Errorf("status %d", answer.Status)
	}
	j.ran = true
	return nil
}

// describePath returns the engines of a path with their layers, for logs.
func describePath(path pipeline.Path) string {
	var text strings.Builder
	for i, stage := range path {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d-%d", stage.Server.ID, stage.Layers.From, stage.Layers.To)
	}
	return text.String()
}

// part returns a part of a time.
func part(of time.Duration, factor float64) time.Duration { return time.Duration(float64(of) * factor) }

// silent looks for the engine that holds up a run and moves the run past it; it returns how long to wait on, zero to give
// the run up.
func (f *Forwarder) silent(ctx context.Context, j *job, r *run, patience time.Duration) time.Duration {
	waited := time.Since(r.since)
	if waited >= patience {
		if f.mayStartAgain(j) {
			return 0
		}
		patience = waited + silenceStep
	}
	if r.service.Engine == nil {
		return patience - waited
	}
	if r.answer == nil {
		f.fleet.waited(r)
	}
	if r.moves >= maxMoves {
		return min(silenceStep, patience-waited)
	}
	least := max(part(j.route.Gap, pauseSilence), part(f.fleet.pause(r), unusualPause))
	if waited < least {
		return least - waited
	}
	stage, ok := f.fleet.dead(r, least)
	if !ok && time.Since(r.examined) >= r.again {
		r.examined, r.again = time.Now(), max(2*r.again, examineEvery)
		stage, ok = f.examine(ctx, j, r, least)
	}
	if !ok {
		return min(silenceStep, max(patience-time.Since(r.since), time.Millisecond))
	}
	if stage > 0 {
		f.move(ctx, j, r, stage)
		return silenceStep
	}
	if !f.mayStartAgain(j) {
		return silenceStep
	}
	r.culprit = r.path[0].Server.Address
	return 0
}

// mayStartAgain reports whether the stream could be sent to one more path, as far as its route says.
func (f *Forwarder) mayStartAgain(j *job) bool { return j.sent < j.route.Attempts && j.route.Resumable }

// maxMoves is how often a run is moved past an engine.
const maxMoves = 2

// move orders the first engine to go on without the engine of a stage.
func (f *Forwarder) move(ctx context.Context, j *job, r *run, stage int) {
	r.moves++
	culprit := r.path[stage].Server
	told := event.Move{Request: j.request.ID, First: r.path[0].Server.ID, Silent: culprit.ID, Waited: time.Since(r.since)}
	log := f.config.Log.WithFields(told.Fields())
	path, ok := f.fleet.reroute(r, stage)
	if !ok {
		log.WithError(errNoPath).Info(event.NotMoved)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, repathTimeout)
	defer cancel()
	if err := f.config.Repath(ctx, r.path[0].Server, j.request.ID, hops(path)); err != nil {
		log.WithError(err).Info(event.NotMoved)
		return
	}
	f.fleet.moved(r, path)
	j.path = describePath(path)
	log.Info(event.Moved)
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
	told := event.Attempt{
		Request: j.request.ID, Server: first.ID, Fault: address, Path: j.path, Ran: j.ran, After: time.Since(j.began),
	}
	f.config.Log.WithError(cause).WithFields(told.Fields()).Info(event.Failed)
}

// stalledTimeout is the longest time for asking who holds a request up.
const stalledTimeout = 150 * time.Millisecond

// stalled returns the address of an engine that holds requests up, the first one's if it does not say.
func (f *Forwarder) stalled(ctx context.Context, first backend.Server) string {
	ctx, cancel := context.WithTimeout(ctx, stalledTimeout)
	defer cancel()
	state, err := f.config.State(ctx, first)
	if err != nil {
		told := event.Engine{Server: first.ID, Address: first.Address}
		f.config.Log.WithError(err).WithFields(told.Fields()).Info(event.NoAnswer)
		return first.Address
	}
	if len(state.Stalled) == 0 {
		return first.Address
	}
	return state.Stalled[0].Address
}

// end gives back what the run took.
func (f *Forwarder) end(r *run, err error) {
	if r.answer != nil {
		if err != nil {
			r.answer.Discard()
		} else {
			r.answer.Close()
		}
	}
	if r.service.Engine != nil {
		f.fleet.endPath(r)
	}
}

// relay gives the events of a run to the caller until the stream is complete.
func (f *Forwarder) relay(ctx context.Context, j *job, out *events, r *run) (err error) {
	out.start(r.answer.Header)
	patience := max(part(j.route.Gap, pausePatience), leastPatience)
	silence := part(j.route.Gap, pauseSilence)
	r.answer.Silent(func() time.Duration { return f.silent(ctx, j, r, patience) })
	var buffer [4096]byte
	f.progressed(r, 0)
	for {
		r.answer.SetReadDeadline(time.Now().Add(silence))
		// The context's end sets a deadline too, which may have been replaced just now.
		if err = ctx.Err(); err != nil {
			return err
		}
		var n int
		n, err = r.answer.Read(buffer[:])
		if n > 0 {
			f.progressed(r, time.Since(r.since))
			j.note(out.count, tokensPerEvent(r.service))
			if failed := out.write(buffer[:n]); failed != nil {
				return failed
			}
		}
		if errors.Is(err, io.EOF) {
			return out.finish()
		}
		if err != nil {
			if ctx.Err() == nil {
				f.blame(ctx, j, r, r.culprit, err)
			}
			return err
		}
	}
}

// progressed notes that a run made progress after a pause.
func (f *Forwarder) progressed(r *run, pause time.Duration) {
	f.fleet.progressed(r, pause)
	r.since, r.again = time.Now(), 0
}

// note takes the time of events that have arrived.
func (j *job) note(events, tokens int) {
	now := time.Now()
	j.events, j.tokens = events, events*tokens
	if j.first == 0 {
		j.first = now.Sub(j.began)
	} else {
		j.gap = max(j.gap, now.Sub(j.lastAt))
	}
	j.lastAt = now
}

// tokensPerEvent returns the number of tokens that an event holds.
func tokensPerEvent(service *route.Service) int {
	if service.Engine == nil {
		return 1
	}
	return max(service.Engine.Stride, 1)
}
