package forward

import (
	"context"
	"io"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// blockedRetryAfter is the delay before a retry of a blocked request. It may be blocked only until other instances have reported what
// they know of its parts.
const blockedRetryAfter = 2 * time.Second

// blockedError means that engines have crashed under a part of the request's prompt.
type blockedError struct{ part string }

// Error names the part.
func (e *blockedError) Error() string {
	return "engines have crashed under part " + e.part + " of the prompt"
}

// checkBlocked returns a *blockedError if the request must not be sent to engines.
func (f *Forwarder) checkBlocked(j *job) error {
	if part, ok := f.config.PromptBlocked(j.request.SharedParts); ok {
		return &blockedError{part: part}
	}
	return nil
}

// blockedResponse returns the response to a request that must not be sent to engines.
func (j *job) blockedResponse(cause *blockedError) *errorResponse {
	if j.mayHaveRun {
		return &errorResponse{status: http.StatusBadGateway, code: "quarantined", blockedPart: cause.part}
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: "quarantined", retryAfter: blockedRetryAfter, blockedPart: cause.part}
}

// sendWithdrawable sends a request to the first engine of an attempt, or to a plain server. If it becomes known meanwhile that engines
// crash under the request, which has not been answered yet, it is withdrawn from the engine, and blocked tells why.
func (f *Forwarder) sendWithdrawable(ctx context.Context, j *job, a *streamAttempt, request upstream.Request) (response *upstream.Response, blocked *blockedError, err error) {
	parts := j.request.SharedParts
	if a.service.Engine == nil || len(parts) == 0 {
		response, err = f.config.Upstream.Send(ctx, request)
		return response, nil, err
	}
	ctx, a.release = context.WithCancelCause(ctx)
	done := f.config.PromptWaiting(parts, func(part string) { a.release(&blockedError{part: part}) })
	response, err = f.config.Upstream.Send(ctx, request)
	done()
	if !errors.As(context.Cause(ctx), &blocked) {
		return response, nil, err
	}
	if response != nil {
		response.Discard()
	}
	j.mayHaveRun = true
	return nil, blocked, nil
}

// maxCrashDelay is how long after the begin of an answer an engine may crash because of the request.
const maxCrashDelay = 3 * time.Second

// recordEvent records that events of an answer have arrived: its begin, the first time in an attempt, and once it has gone on for
// maxCrashDelay that the engine will not crash because of the request.
func (f *Forwarder) recordEvent(j *job, a *streamAttempt, arrivedAt time.Time) {
	if a.beganAt.IsZero() {
		a.beganAt = arrivedAt
		if a.service.Engine != nil {
			f.config.PromptBegan(j.request.SharedParts)
		}
	}
	if arrivedAt.Sub(a.beganAt) > maxCrashDelay {
		f.recordAnswered(j, a)
	}
}

// recordAnswered records that the engine has not crashed because of the request, the first time in an attempt.
func (f *Forwarder) recordAnswered(j *job, a *streamAttempt) {
	if a.answered {
		return
	}
	a.answered = true
	if a.service.Engine != nil {
		f.config.PromptAnswered(j.request.SharedParts)
	}
}

// checkCrash records the end of the connection to the first engine of a failed attempt that was not answered, in which case the
// engine may have crashed under the request. No other engine of a chain crashes with it.
func (f *Forwarder) checkCrash(ctx context.Context, j *job, a *streamAttempt, err error) {
	if a.service.Engine == nil || a.answered || len(j.request.SharedParts) == 0 || ctx.Err() != nil || !isConnectionEnd(err) {
		return
	}
	f.firstEngineCrashed(ctx, a, j.request.SharedParts)
}

// firstEngineCrashed reports whether the first engine of an attempt whose connection has ended has crashed, and records that it may have
// crashed because of the parts, and that it is dead. An engine that wants no requests is not probed, and counts as alive.
func (f *Forwarder) firstEngineCrashed(ctx context.Context, a *streamAttempt, parts []string) bool {
	first := a.chain[0].Server
	crashed := !f.config.Notices.Waiting(first) && f.config.ConnectionEnded(ctx, first, parts, !a.beganAt.IsZero())
	if crashed {
		f.selector.probeFailed(first)
	}
	return crashed
}

// errCrashed is the error of a response of unknown length whose engine has crashed when its connection ends.
const errCrashed = errors.ConstError("the engine has crashed at the end of the stream")

// finishStream finishes the stream at the end of an attempt's body, or returns an error if the stream is incomplete. A response of
// unknown length without any new event is complete only if the caller itself resumed the stream, and may thus have all its events.
func (f *Forwarder) finishStream(ctx context.Context, j *job, a *streamAttempt) error {
	if a.response.Framed {
		return j.out.finish()
	}
	if a.beganAt.IsZero() && (j.out.resumed || j.request.LastEventID == "") {
		return errEmptyStream
	}
	if f.crashedAtEnd(ctx, j, a) {
		return errCrashed
	}
	return j.out.finish()
}

// crashedAtEnd reports whether the first engine of an attempt has crashed, and records that if the engine may have crashed because of
// the request. A crash ends a response of unknown length in the same way as its last event does.
func (f *Forwarder) crashedAtEnd(ctx context.Context, j *job, a *streamAttempt) bool {
	if a.service.Engine == nil {
		return false
	}
	parts := j.request.SharedParts
	if a.answered {
		parts = nil
	}
	return f.firstEngineCrashed(ctx, a, parts)
}

// EnginesCrashed records that engines have crashed, as another instance found. They get no requests until they respond to a probe, or
// for a short time.
func (f *Forwarder) EnginesCrashed(servers []backend.Server) {
	snapshot := f.config.Catalog.Snapshot()
	if snapshot.Index == nil {
		return
	}
	for i := range snapshot.Index.Config.Services {
		service := &snapshot.Index.Config.Services[i]
		for _, server := range servers {
			if server.Service == service.Name && service.Engine != nil {
				f.selector.engineCrashed(service, snapshot, server)
			}
		}
	}
}

// EngineLost reports whether an engine did not respond to its last probe, so that it is probably gone even if it is still listed.
func (f *Forwarder) EngineLost(server backend.Server) bool {
	f.selector.mu.Lock()
	defer f.selector.mu.Unlock()
	engines := f.selector.engines[server.Service]
	return engines != nil && engines.chooser.IsLost(f.config.Clock.Now(), server.ID)
}

// isConnectionEnd reports whether an error means that the other side ended the connection.
func isConnectionEnd(err error) bool {
	for _, end := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE, errEmptyStream} {
		if errors.Is(err, end) {
			return true
		}
	}
	return false
}
