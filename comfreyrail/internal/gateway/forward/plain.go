package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// servePlain forwards a request to plain servers. It sends the response once it has been read whole, so that a failed attempt
// can be retried at another server; a response that is larger than limit.HeldBytes is sent while it is read.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, j *job) error {
	var failure *heldResponse
	defer func() { failure.discard() }()
	for j.hasAttemptsLeft() && ctx.Err() == nil {
		server, ok := f.nextPlainServer(j)
		if !ok {
			break
		}
		held, err := f.attemptPlain(ctx, j, server)
		if err != nil && ctx.Err() != nil {
			return j.timeoutResponse()
		}
		if err == nil && held.succeeded() {
			return j.deliver(ctx, w, held)
		}
		if err == nil && held.meta.NotRun {
			held.discard()
		} else if err == nil {
			failure.discard()
			failure = held
		}
		if j.mayHaveRun && j.route.Kind == route.AtMostOnce {
			break
		}
	}
	switch {
	case failure != nil:
		return j.deliver(ctx, w, failure)
	case ctx.Err() != nil:
		return j.timeoutResponse()
	}
	return f.withWait(j, j.failureResponse("no-server"))
}

// nextPlainServer returns the server for the next attempt and counts the attempt. It returns false if there is no server or
// the retry budget is exhausted.
func (f *Forwarder) nextPlainServer(j *job) (server backend.Server, ok bool) {
	_, servers, _ := f.pickService(j)
	server, ok = f.selector.choosePlain(servers, f.excludeServers(j, servers))
	if !ok {
		return server, false
	}
	if j.attempts == 0 {
		f.config.Retries.CountRequest(server.Service)
	} else if !f.config.Retries.Allow(server.Service) {
		return server, false
	}
	j.attempts++
	j.avoid = append(j.avoid, server.ID)
	j.lastServer = server.ID
	return server, true
}

// attemptPlain sends the request to one server and reads the response up to limit.HeldBytes. It sets mayHaveRun unless the
// server certainly did not run the request.
func (f *Forwarder) attemptPlain(ctx context.Context, j *job, server backend.Server) (held *heldResponse, err error) {
	f.selector.startedPlain(server.ID)
	defer func() {
		if err != nil {
			f.selector.endedPlain(server.ID)
			f.recordFailedPlainAttempt(ctx, j, server, err)
		}
	}()
	response, err := f.config.Upstream.Send(ctx, f.upstreamRequest(j, server, nil, ""))
	if err != nil {
		f.recordSendError(j, err)
		return nil, err
	}
	meta := f.config.ReadResponse(response.Status, response.Header)
	f.recordNotice(j, server, meta)
	if err = j.checkValidity(response.Status, meta); err != nil {
		response.Discard()
		j.mayHaveRun = true
		return nil, err
	}
	held, err = f.hold(response, meta, func() { f.selector.endedPlain(server.ID) })
	if err != nil {
		j.mayHaveRun = true
		return nil, err
	}
	f.recordPlainResponse(j, server, held)
	return held, nil
}

// recordPlainResponse records the load that a server reported, and that the server did not run the request if it says so.
func (f *Forwarder) recordPlainResponse(j *job, server backend.Server, held *heldResponse) {
	if held.meta.Slots > 0 {
		f.selector.updatePlainLoad(server.ID, held.meta.Running+held.meta.Waiting)
	}
	if !held.meta.NotRun {
		j.mayHaveRun = true
		return
	}
	f.selector.suspectPlain(server.ID)
	notRun := event.FailedAttempt{
		Request: j.request.ID, Server: server.ID, MayHaveRun: j.mayHaveRun, Status: held.response.Status, Elapsed: time.Since(j.startedAt),
	}
	f.config.Log.WithFields(notRun.Fields()).WithFields(j.excluded.Fields()).Info(event.RequestNotRun)
}

// recordFailedPlainAttempt logs a failed attempt and marks the server as suspected, unless the caller disconnected.
func (f *Forwarder) recordFailedPlainAttempt(ctx context.Context, j *job, server backend.Server, err error) {
	if !canceled(ctx) {
		f.selector.suspectPlain(server.ID)
	}
	attempt := event.FailedAttempt{Request: j.request.ID, Server: server.ID, MayHaveRun: j.mayHaveRun, Elapsed: time.Since(j.startedAt)}
	f.config.Log.WithError(err).WithFields(attempt.Fields()).WithFields(j.excluded.Fields()).Info(event.AttemptFailed)
}
