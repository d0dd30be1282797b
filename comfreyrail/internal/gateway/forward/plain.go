package forward

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// maxResponseBytes is the maximum number of bytes that are read of a response's body, unless it is relayed as a stream. The
// rest is dropped.
const maxResponseBytes = 16 << 20

// errWrongRequest is the error of a response that carries the ID of another request.
const errWrongRequest = errors.ConstError("the response belongs to another request")

// bufferedResponse is a backend server's response with the first maxResponseBytes of its body.
type bufferedResponse struct {
	status int
	header http.Header
	body   []byte
	meta   call.Response
}

// serveBuffered forwards a request and sends the response once the whole response of the server has been read, so that a
// failed attempt can be retried at another server.
func (f *Forwarder) serveBuffered(ctx context.Context, w http.ResponseWriter, j *job) error {
	var failure *bufferedResponse
	for j.attempts < j.route.MaxAttempts {
		server, ok := f.nextPlainServer(j)
		if !ok {
			break
		}
		response, err := f.attemptBuffered(ctx, j, server)
		if err != nil && ctx.Err() != nil {
			return j.timeoutResponse()
		}
		if err == nil && response.succeeded() {
			return response.writeTo(w)
		}
		if err == nil && !response.meta.NotRun {
			failure = response
		}
		if j.mayHaveRun && j.route.Kind == route.AtMostOnce {
			break
		}
	}
	if failure != nil {
		return failure.writeTo(w)
	}
	return j.failureResponse("no-server")
}

// nextPlainServer returns the server for the next attempt and counts the attempt. It returns false if there is no server or
// the retry budget is exhausted.
func (f *Forwarder) nextPlainServer(j *job) (server backend.Server, ok bool) {
	_, servers, _ := f.pickService(j)
	server, ok = f.selector.choosePlain(servers, j.avoid)
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

// succeeded reports whether the server ran the request and returned a status below 500.
func (r *bufferedResponse) succeeded() bool {
	return !r.meta.NotRun && r.status < http.StatusInternalServerError
}

// attemptBuffered sends the request to one server and reads the whole response. It sets mayHaveRun unless the server
// certainly did not run the request.
func (f *Forwarder) attemptBuffered(ctx context.Context, j *job, server backend.Server) (result *bufferedResponse, err error) {
	f.selector.startedPlain(server.ID)
	defer f.selector.endedPlain(server.ID)
	response, err := f.config.Upstream.Send(ctx, f.upstreamRequest(j, server, nil, ""))
	if err != nil {
		var failure *upstream.Error
		j.mayHaveRun = j.mayHaveRun || !errors.As(err, &failure) || failure.MayHaveBeenSent
		f.recordFailedBufferedAttempt(j, server, err)
		return nil, err
	}
	meta := f.config.ReadResponse(response.Status, response.Header)
	if meta.ID != j.request.ID {
		response.Discard()
		j.mayHaveRun = true
		f.recordFailedBufferedAttempt(j, server, errWrongRequest)
		return nil, errWrongRequest
	}
	body, err := io.ReadAll(io.LimitReader(response, maxResponseBytes))
	if err != nil {
		response.Discard()
		j.mayHaveRun = true
		f.recordFailedBufferedAttempt(j, server, err)
		return nil, err
	}
	response.Close()
	if meta.Slots > 0 {
		f.selector.updatePlainLoad(server.ID, meta.Running+meta.Waiting)
	}
	if meta.NotRun {
		f.selector.suspectPlain(server.ID)
		notRun := event.FailedAttempt{
			Request: j.request.ID, Server: server.ID, MayHaveRun: j.mayHaveRun, Status: response.Status, Elapsed: time.Since(j.startedAt),
		}
		f.config.Log.WithFields(notRun.Fields()).Info(event.RequestNotRun)
	} else {
		j.mayHaveRun = true
	}
	return &bufferedResponse{status: response.Status, header: response.Header, body: body, meta: meta}, nil
}

// recordFailedBufferedAttempt logs a failed attempt and marks the server as suspected.
func (f *Forwarder) recordFailedBufferedAttempt(j *job, server backend.Server, err error) {
	f.selector.suspectPlain(server.ID)
	attempt := event.FailedAttempt{Request: j.request.ID, Server: server.ID, MayHaveRun: j.mayHaveRun, Elapsed: time.Since(j.startedAt)}
	f.config.Log.WithError(err).WithFields(attempt.Fields()).Info(event.AttemptFailed)
}

// writeTo sends the response to the caller.
func (r *bufferedResponse) writeTo(w http.ResponseWriter) error {
	copyHeader(w.Header(), r.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(r.body)))
	w.WriteHeader(r.status)
	_, err := w.Write(r.body)
	return err
}
