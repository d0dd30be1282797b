package completion

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// callError is the error of a call to an engine that got no successful response.
type callError struct {
	cause error
	// notRun is set if the call provably had no effect.
	notRun bool
}

// Error returns the text of the cause.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// notRun reports whether the failed call provably had no effect, because no connection was established or the engine
// refused the call on a new connection.
func notRun(err error) bool {
	var callErr *callError
	return errors.As(err, &callErr) && callErr.notRun
}

// post sends a JSON message to an engine and returns the response if its status code is 200 OK. The caller closes the
// response body.
//
// If newConnection is true, the call doesn't reuse an idle connection. Successes and refusals are reported to
// Config.Control.
func (r *Runner) post(ctx context.Context, address, path string, message any, newConnection bool) (response *http.Response, err error) {
	defer errors.DeferredAnnotatef(&err, "post %s to %s", path, address)
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	var connected, reused atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		connected.Store(true)
		reused.Store(info.Reused)
	}})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	sentAt := time.Now()
	client := r.config.HTTP
	if newConnection {
		client = r.noKeepAlive
	}
	if response, err = client.Do(request); err != nil {
		return nil, &callError{cause: err, notRun: !connected.Load()}
	}
	if response.StatusCode == http.StatusOK {
		r.config.Control.RecordServed(address, time.Now())
		return response, nil
	}
	defer drainAndClose(response)
	var refusal engine.Refusal
	_ = json.NewDecoder(io.LimitReader(response.Body, limit.EngineMessageBytes)).Decode(&refusal)
	r.config.Control.ReportRefusal(ctx, address, refusal.Reason, sentAt)
	cause := fmt.Errorf("answered with status code %d: %s", response.StatusCode, refusal.Reason)
	// A refusal doesn't name its call: on a reused connection it may be the refusal of an earlier call, sent again.
	return nil, &callError{cause: cause, notRun: refusal.Refused && !reused.Load()}
}

// maxDrainBytes is the maximum number of remaining bytes of a response body that are read so that its connection can be
// reused.
const maxDrainBytes = 4096

// drainAndClose reads up to maxDrainBytes of the rest of the response body and closes it.
func drainAndClose(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxDrainBytes)
	_ = response.Body.Close()
}
