package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// servePlain forwards a request to plain servers. It sends the response once it has been read whole, so that a failed attempt
// can be retried at another server; a response that is larger than limit.HeldBytes is sent while it is read.
func (f *Forwarder) servePlain(ctx context.Context, w http.ResponseWriter, j *job) error {
	var failure *heldResponse
	var refusal error // why no further attempt was made
	defer func() { failure.discard() }()
	for j.hasAttemptsLeft() && ctx.Err() == nil {
		server, err := f.nextPlainServer(j)
		if err != nil {
			refusal = err
			break
		}
		held, err := f.attemptPlain(ctx, j, server)
		if err != nil && ctx.Err() != nil {
			break
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
	if failure != nil {
		return j.deliver(ctx, w, failure)
	}
	return f.plainFailure(ctx, j, refusal)
}

// plainFailure returns the error response to a request to which no server has responded, by the reason why no further attempt was made.
func (f *Forwarder) plainFailure(ctx context.Context, j *job, refusal error) *errorResponse {
	var blocked *blockedError
	switch {
	case ctx.Err() != nil:
		return j.timeoutResponse()
	case errors.As(refusal, &blocked):
		return j.blockedResponse(blocked)
	default:
		return f.withWait(j, j.failureResponse("no-server"))
	}
}

// nextPlainServer returns the server for the next attempt and counts the attempt. The error is a *blockedError if the request must not
// be sent, errNoChain if there is no server, and errNoBudget if the retry budget is exhausted.
func (f *Forwarder) nextPlainServer(j *job) (server backend.Server, err error) {
	service, servers, _ := f.pickService(j)
	if err = f.checkBlocked(j, service); err != nil {
		return server, err
	}
	server, ok := f.selector.choosePlain(servers, f.excludeServers(j, servers))
	if !ok {
		return server, errNoChain
	}
	if j.attempts == 0 {
		f.config.Retries.CountRequest(server.Service)
	} else if !f.config.Retries.Allow(server.Service) {
		return server, errNoBudget
	}
	j.attempts++
	j.avoid = append(j.avoid, server.ID)
	j.lastServer = server.ID
	return server, nil
}

// attemptPlain sends the request to one server and reads the response up to limit.HeldBytes. It sets mayHaveRun unless the
// server certainly did not run the request.
func (f *Forwarder) attemptPlain(ctx context.Context, j *job, server backend.Server) (held *heldResponse, err error) {
	f.selector.startedPlain(server.ID)
	service, _, _ := f.pickService(j)
	response, release, err := f.sendWithdrawable(ctx, j, service, f.upstreamRequest(j, server, nil, ""))
	defer func() {
		if err != nil {
			release(err)
			f.selector.endedPlain(server.ID)
			f.recordFailedPlainAttempt(ctx, j, server, err)
		}
	}()
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
	held, err = f.hold(response, meta, func() {
		release(nil)
		f.selector.endedPlain(server.ID)
	})
	if err != nil {
		j.mayHaveRun = true
		return nil, err
	}
	held.relayed = func(err error) error { return f.endRelay(ctx, j, server, held, err) }
	if held.complete {
		if err = f.checkWhole(ctx, j, server, held); err != nil {
			j.mayHaveRun = true
			held.ended = func() {} // as for other failed attempts
			held.release(false)
			return nil, err
		}
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

// recordFailedPlainAttempt logs a failed attempt, marks the server as suspected, unless the caller disconnected or the request was
// withdrawn, and records the crash if the server has ended the connection.
func (f *Forwarder) recordFailedPlainAttempt(ctx context.Context, j *job, server backend.Server, err error) {
	var failure *upstream.Error
	wasSent := !errors.As(err, &failure) || failure.MayHaveBeenSent
	if wasSent && isConnectionEnd(err) {
		f.awaitCrash(ctx, server, poison.Request{Digest: j.digest}, failure == nil)
	}
	var blocked *blockedError
	if !canceled(ctx) && !errors.As(err, &blocked) {
		f.selector.suspectPlain(server.ID)
	}
	attempt := event.FailedAttempt{Request: j.request.ID, Server: server.ID, MayHaveRun: j.mayHaveRun, Elapsed: time.Since(j.startedAt)}
	f.config.Log.WithError(err).WithFields(attempt.Fields()).WithFields(j.excluded.Fields()).Info(event.AttemptFailed)
}
