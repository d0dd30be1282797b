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
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Delays before a retry of a blocked request.
const (
	// blockedRetryAfter is the delay if a part is the cause. It may be blocked only until other instances have reported what they know
	// of its parts.
	blockedRetryAfter = 2 * time.Second
	// blockedRequestRetryAfter is the delay if the whole request is, which stays blocked.
	blockedRequestRetryAfter = 10 * time.Second
)

// blockedError means that servers have crashed under the request, or engines under a part of its prompt.
type blockedError struct{ cause poison.Cause }

// Error names the cause.
func (e *blockedError) Error() string {
	if e.cause.Digest != "" {
		return "servers have crashed under the request " + e.cause.Digest
	}
	return "engines have crashed under part " + e.cause.Part + " of the prompt"
}

// suspect returns what servers of the service may crash under: the request, and the parts of its prompt if they are engines.
func (j *job) suspect(service *route.Service) (request poison.Request) {
	request.Digest = j.digest
	if service.Engine != nil {
		request.Parts = j.request.SharedParts
	}
	return request
}

// checkBlocked returns a *blockedError if the request must not be sent to servers of the service.
func (f *Forwarder) checkBlocked(j *job, service *route.Service) error {
	if cause, ok := f.config.RequestBlocked(j.suspect(service)); ok {
		return &blockedError{cause: cause}
	}
	return nil
}

// blockedResponse returns the response to a request that must not be sent to servers.
func (j *job) blockedResponse(blocked *blockedError) *errorResponse {
	response := &errorResponse{status: http.StatusBadGateway, code: "quarantined", blocked: blocked.cause}
	if j.mayHaveRun {
		return response
	}
	response.status, response.retryAfter = http.StatusServiceUnavailable, blockedRetryAfter
	if blocked.cause.Digest != "" {
		response.retryAfter = blockedRequestRetryAfter
	}
	return response
}

// sendWithdrawable sends a request to a server. If it becomes known meanwhile that servers crash under the request, which has not been
// answered yet, it is withdrawn from the server, and the error is a *blockedError. Release must be called after the use of the response.
func (f *Forwarder) sendWithdrawable(ctx context.Context, j *job, service *route.Service, request upstream.Request) (response *upstream.Response, release context.CancelCauseFunc, err error) {
	ctx, release = context.WithCancelCause(ctx)
	done := f.config.RequestWaiting(j.suspect(service), func(cause poison.Cause) { release(&blockedError{cause: cause}) })
	response, err = f.config.Upstream.Send(ctx, request)
	done()
	var blocked *blockedError
	if !errors.As(context.Cause(ctx), &blocked) {
		return response, release, err
	}
	if response != nil {
		response.Discard()
	}
	j.mayHaveRun = true
	return nil, release, blocked
}

// maxCrashDelay is how long after the begin of an answer a server may crash because of the request.
const maxCrashDelay = 3 * time.Second

// recordEvent records that events of an answer have arrived: its begin, the first time in an attempt, and once it has gone on for
// maxCrashDelay that the server will not crash because of the request.
func (f *Forwarder) recordEvent(j *job, a *streamAttempt, arrivedAt time.Time) {
	if a.beganAt.IsZero() {
		a.beganAt = arrivedAt
		if a.service.Engine != nil {
			f.config.PromptBegan(j.suspect(a.service))
		}
	}
	if arrivedAt.Sub(a.beganAt) > maxCrashDelay {
		f.recordAnswered(j, a)
	}
}

// recordAnswered records that the server has not crashed because of the request, the first time in an attempt.
func (f *Forwarder) recordAnswered(j *job, a *streamAttempt) {
	if a.answered {
		return
	}
	a.answered = true
	f.config.RequestAnswered(j.suspect(a.service))
}

// checkCrash records the end of the connection to the first server of a failed attempt that was not answered, in which case the
// server may have crashed under the request. No other engine of a chain crashes with it.
func (f *Forwarder) checkCrash(ctx context.Context, j *job, a *streamAttempt, err error) {
	if a.answered || ctx.Err() != nil || !isConnectionEnd(err) {
		return
	}
	f.awaitCrash(ctx, a.chain[0].Server, j.suspect(a.service), !a.beganAt.IsZero())
}

// awaitCrash reports whether a server whose connection has ended has crashed, and records that it may have crashed because of the
// request, and that an engine is dead. If the context ends before that is known, it returns true at once, and what becomes known is
// recorded later. A server that wants no requests is not probed, and counts as alive.
func (f *Forwarder) awaitCrash(ctx context.Context, server backend.Server, request poison.Request, began bool) (crashed bool) {
	if f.config.Notices.Waiting(server) {
		return false
	}
	found := make(chan bool, 1)
	go func() {
		defer func() {
			if reason := recover(); reason != nil {
				f.config.recordPanic("the probe of a server after the end of its connection", reason)
				found <- false
			}
		}()
		hasCrashed := f.config.ConnectionEnded(context.WithoutCancel(ctx), server, request, began)
		if hasCrashed {
			f.selector.probeFailed(server)
		}
		found <- hasCrashed
	}()
	select {
	case crashed = <-found:
		return crashed
	case <-ctx.Done():
		return true
	}
}

// errCrashed is the error of a response of unknown length whose server has crashed when its connection ends.
const errCrashed = errors.ConstError("the server has crashed at the end of the response")

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

// crashedAtEnd reports whether the first server of an attempt has crashed, and records that if the server may have crashed because of
// the request. A crash ends a response of unknown length in the same way as its last event does.
func (f *Forwarder) crashedAtEnd(ctx context.Context, j *job, a *streamAttempt) bool {
	var request poison.Request
	if !a.answered {
		request = j.suspect(a.service)
	}
	return f.awaitCrash(ctx, a.chain[0].Server, request, !a.beganAt.IsZero())
}

// checkWhole records that a plain server has answered the request. It returns errCrashed if the response, which has ended, has an unknown
// length and the server has crashed at its end.
func (f *Forwarder) checkWhole(ctx context.Context, j *job, server backend.Server, held *heldResponse) error {
	request := poison.Request{Digest: j.digest}
	endsWithConnection := !held.response.Framed && !held.meta.NotRun && j.method != http.MethodHead
	if endsWithConnection && f.awaitCrash(ctx, server, request, true) {
		return errCrashed
	}
	// An error may come from a server that fails before it gets to what crashes it.
	if held.succeeded() {
		f.config.RequestAnswered(request)
	}
	return nil
}

// endRelay records the end of a response of a plain server that was relayed while it was read, with the error of the end, and returns
// the error to report. A server that has gone on for maxCrashDelay has not crashed because of the request.
func (f *Forwarder) endRelay(ctx context.Context, j *job, server backend.Server, held *heldResponse, err error) error {
	if err == nil {
		return f.checkWhole(ctx, j, server, held)
	}
	request := poison.Request{Digest: j.digest}
	switch {
	case time.Since(held.beganAt) > maxCrashDelay:
		f.config.RequestAnswered(request)
	case isConnectionEnd(err):
		f.awaitCrash(ctx, server, request, true)
	}
	return err
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
