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

// maxAnswer is the greatest size of a plain answer in bytes.
const maxAnswer = 16 << 20

// errForeign means that an answer belongs to another request.
const errForeign = errors.ConstError("the answer belongs to another request")

// whole is a whole answer.
type whole struct {
	status int
	header http.Header
	body   []byte
	told   call.Response
}

// plain passes on a request whose answer is sent once it is whole.
func (f *Forwarder) plain(ctx context.Context, w http.ResponseWriter, j *job) error {
	var failed *whole
	for j.sent < j.route.MaxAttempts {
		server, ok := f.nextPlain(j)
		if !ok {
			break
		}
		answer, err := f.once(ctx, j, server)
		if err != nil && ctx.Err() != nil {
			return j.expired()
		}
		if err == nil && answer.succeeded() {
			return answer.send(w)
		}
		if err == nil && !answer.told.NotRun {
			failed = answer
		}
		if j.ran && j.route.Kind == route.AtMostOnce {
			break
		}
	}
	if failed != nil {
		return failed.send(w)
	}
	return j.exhausted("no-server")
}

// nextPlain returns the server for the next attempt, and false if there is none or no more may be made.
func (f *Forwarder) nextPlain(j *job) (server backend.Server, ok bool) {
	_, servers, _ := f.pickService(j)
	server, ok = f.fleet.choosePlain(servers, j.avoid)
	if !ok {
		return server, false
	}
	if j.sent == 0 {
		f.config.Retries.CountRequest(server.Service)
	} else if !f.config.Retries.Allow(server.Service) {
		return server, false
	}
	j.sent++
	j.avoid = append(j.avoid, server.ID)
	j.last = server.ID
	return server, true
}

// succeeded reports whether the server ran the request and did not fail.
func (a *whole) succeeded() bool { return !a.told.NotRun && a.status < http.StatusInternalServerError }

// once sends the request to one server and reads the whole answer.
func (f *Forwarder) once(ctx context.Context, j *job, server backend.Server) (result *whole, err error) {
	f.fleet.startedPlain(server.ID)
	defer f.fleet.endedPlain(server.ID)
	answer, err := f.config.Upstream.Send(ctx, f.outgoing(j, server, nil, ""))
	if err != nil {
		var failure *upstream.Error
		j.ran = j.ran || !errors.As(err, &failure) || failure.Sent
		f.failed(j, server, err)
		return nil, err
	}
	told := f.config.ReadResponse(answer.Status, answer.Header)
	if told.ID != j.request.ID {
		answer.Discard()
		j.ran = true
		f.failed(j, server, errForeign)
		return nil, errForeign
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswer))
	if err != nil {
		answer.Discard()
		j.ran = true
		f.failed(j, server, err)
		return nil, err
	}
	answer.Close()
	if told.Slots > 0 {
		f.fleet.reported(server.ID, told.Running+told.Waiting)
	}
	if told.NotRun {
		f.fleet.suspectPlain(server.ID)
		declined := event.FailedAttempt{
			Request: j.request.ID, Server: server.ID, MayHaveRun: j.ran, Status: answer.Status, Elapsed: time.Since(j.began),
		}
		f.config.Log.WithFields(declined.Fields()).Info(event.RequestNotRun)
	} else {
		j.ran = true
	}
	return &whole{status: answer.Status, header: answer.Header, body: body, told: told}, nil
}

// failed logs an attempt that failed and leaves the server alone for a while.
func (f *Forwarder) failed(j *job, server backend.Server, err error) {
	f.fleet.suspectPlain(server.ID)
	told := event.FailedAttempt{Request: j.request.ID, Server: server.ID, MayHaveRun: j.ran, Elapsed: time.Since(j.began)}
	f.config.Log.WithError(err).WithFields(told.Fields()).Info(event.AttemptFailed)
}

// send gives the answer to the caller.
func (a *whole) send(w http.ResponseWriter) error {
	copyHeader(w.Header(), a.header)
	w.Header().Set("Content-Length", strconv.Itoa(len(a.body)))
	w.WriteHeader(a.status)
	_, err := w.Write(a.body)
	return err
}
