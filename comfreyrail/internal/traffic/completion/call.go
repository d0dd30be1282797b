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
)

// callError is a call that failed.
type callError struct {
	cause  error
	notRun bool
}

// Error returns the cause.
func (e *callError) Error() string { return e.cause.Error() }

// Unwrap returns the cause.
func (e *callError) Unwrap() error { return e.cause }

// notRun reports whether the call provably had no effect: no connection was had, or the engine refused.
func notRun(err error) bool {
	var failed *callError
	return errors.As(err, &failed) && failed.notRun
}

// post sends a message to an engine and returns its successful answer; fresh asks for a new connection.
func (r *Runner) post(ctx context.Context, address, path string, message any, fresh bool) (response *http.Response, err error) {
	defer errors.DeferredAnnotatef(&err, "post %s to %s", path, address)
	body, err := json.Marshal(message)
	if err != nil {
		return nil, err
	}
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }})
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	sent := time.Now()
	client := r.config.HTTP
	if fresh {
		client = r.fresh
	}
	if response, err = client.Do(request); err != nil {
		return nil, &callError{cause: err, notRun: !connected.Load()}
	}
	if response.StatusCode == http.StatusOK {
		r.config.Control.RecordSuccess(address, time.Now())
		return response, nil
	}
	defer closeBody(response)
	var refusal engine.Refusal
	_ = json.NewDecoder(response.Body).Decode(&refusal)
	r.config.Control.ReportRefusal(ctx, address, refusal.Reason, sent)
	cause := fmt.Errorf("answered with status code %d: %s", response.StatusCode, refusal.Reason)
	return nil, &callError{cause: cause, notRun: refusal.Refused}
}

// maxRest is the number of bytes of an answer that are read so that its connection can be used again.
const maxRest = 4096

// closeBody reads what is left of a short answer and closes it.
func closeBody(response *http.Response) {
	_, _ = io.CopyN(io.Discard, response.Body, maxRest)
	_ = response.Body.Close()
}
