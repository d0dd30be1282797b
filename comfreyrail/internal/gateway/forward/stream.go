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
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/headroom"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Times of a stream, as parts of the wanted time to the first event and of the longest pause that is on time.
const (
	// firstCheck is the part of the wanted time to the first event after which the engines are looked at.
	firstCheck = 0.4
	// firstTimeout is how many times that time the first event may take before another path is tried.
	firstTimeout = 3.0
	// pauseCheck is the part of the longest pause after which the engines are looked at.
	pauseCheck = 0.45
	// unusualPause is how many times the usual pause of a path, whose engines may be known to be slow, a pause may last before
	// the engines are looked at.
	unusualPause = 1.5
	// pauseTimeout is how many times that pause may last before another path is tried.
	pauseTimeout = 6.0
	// leastTimeout bounds how soon another path is tried.
	leastTimeout = 300 * time.Millisecond
	// checkEvery is the time between two looks at the engines.
	checkEvery = 30 * time.Millisecond
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
	holder  headroom.Class
	answer  *upstream.Response
	since   time.Time // when it began, or made progress last
	moves   int

	examined time.Time     // when its engines were examined last
	again    time.Duration // time after which they are examined again
	culprit  string        // address of the engine for which it was given up, empty if none is known
}

// stream passes on a request whose answer is a stream of events.
func (f *Forwarder) stream(ctx context.Context, w http.ResponseWriter, j *job) error {
	out := &events{w: w, lastID: j.request.LastEventID}
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
	if j.sent >= j.route.MaxAttempts || j.ran && !j.route.Resumable {
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
	r = &run{service: service, cost: j.cost(service), holder: headroom.Class{Workspace: j.space, Priority: j.priority}}
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
		f.config.Retries.CountRequest(service.Name)
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
	cost := pipeline.Request{PromptTokens: j.request.PromptTokens, OutputTokens: j.request.LengthHint, Avoid: j.avoid}
	if cost.OutputTokens == 0 {
		cost.OutputTokens = j.request.MaxTokens
		if service.Engine != nil {
			cost.OutputTokens = min(service.Engine.MeanOutputTokens, max(j.request.MaxTokens, 1))
		}
	}
	return cost
}

// open sends the request to the first server of the run's path.
func (f *Forwarder) open(ctx context.Context, j *job, r *run, lastID string) (err error) {
	first := r.path[0].Server
	j.last, j.path = first.ID, describePath(r.path)
	var along []call.Stage
	if r.service.Engine != nil {
		along = hops(r.path)
	}
	request := f.outgoing(j, first, along, lastID)
	r.since = time.Now()
	request.Timeout = part(j.route.LatencyTarget, firstCheck)
	request.OnTimeout = func() time.Duration {
		return f.checkStall(ctx, j, r, max(part(j.route.LatencyTarget, firstTimeout), leastTimeout))
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
	told := f.config.ReadResponse(answer.Status, answer.Header)
	switch {
	case told.ID != j.request.ID:
		answer.Discard()
		j.ran = true
		return errForeign
	case told.NotRun:
		answer.Discard()
		f.blame(ctx, j, r, told.FaultyAddress, errors.Errorf("status %d: the path did not run the request", answer.Status))
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
	timeout := max(part(j.route.GapTarget, pauseTimeout), leastTimeout)
	check := part(j.route.GapTarget, pauseCheck)
	r.answer.SetOnTimeout(func() time.Duration { return f.checkStall(ctx, j, r, timeout) })
	var buffer [4096]byte
	f.progressed(r, 0)
	for {
		r.answer.SetReadDeadline(time.Now().Add(check))
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
	return max(service.Engine.StepsPerPass, 1)
}
