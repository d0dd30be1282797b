package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// workspaceHeader is the header that names the caller's workspace.
const workspaceHeader = "Comfrey-Workspace"

// keyHeader is the header that carries a caller's idempotency key.
const keyHeader = "Idempotency-Key"

// maxAnswerBytes is the greatest size of an answer that is read whole.
const maxAnswerBytes = 8 << 20

// caller makes one request.
type caller struct {
	config  Config
	target  *target
	arrival Arrival
	// intended is the time at which the request should have been sent.
	intended time.Time
}

// call makes the request and returns what the caller saw.
func (c *caller) call(ctx context.Context) (seen result) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if c.arrival.Kind == Plain {
		seen = c.plain(ctx)
	} else {
		seen = c.complete(ctx)
	}
	seen.whole = time.Since(c.intended)
	return seen
}

// post sends a body that the HTTP library cannot send again by itself.
func (c *caller) post(ctx context.Context, path string, body []byte, header http.Header) (*http.Response, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.target.instance.CallerAddress+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.GetBody = nil
	request.Header = header
	request.Header.Set(workspaceHeader, c.arrival.Workspace)
	return c.target.client.Do(request)
}

// plain makes a plain call.
func (c *caller) plain(ctx context.Context) result {
	body := "body of " + c.arrival.CallID
	header := http.Header{fakeservice.CallHeader: {c.arrival.CallID}}
	if c.arrival.Keyed {
		header.Set(keyHeader, c.arrival.CallID)
	}
	response, err := c.post(ctx, c.config.Path, []byte(body), header)
	if err != nil {
		return broken(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return broken(err)
	}
	if response.Header.Get(outcome.Header) != string(outcome.Done) {
		return failed(response, content)
	}
	var answer fakeservice.Result
	if err = json.Unmarshal(content, &answer); err != nil {
		return result{verdict: Done, wrong: fmt.Sprintf("answer %q is malformed: %v", content, err)}
	}
	want := fakeservice.Result{Server: answer.Server, Call: c.arrival.CallID, Runs: 1, Body: body}
	if answer != want {
		return result{verdict: Done, wrong: fmt.Sprintf("got %+v, want %+v", answer, want)}
	}
	return result{verdict: Done}
}

// failed reads an answer that is no success.
func failed(response *http.Response, content []byte) result {
	var body struct {
		Error outcome.Failure `json:"error"`
	}
	_ = json.Unmarshal(content, &body)
	seen := result{code: string(body.Error.Code), detail: body.Error.Message}
	switch outcome.Outcome(response.Header.Get(outcome.Header)) {
	case outcome.NotRun:
		seen.verdict = NotRun
	case outcome.Unknown:
		seen.verdict = Unknown
	default:
		seen.verdict, seen.detail = Cut, fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
	if seen.verdict != Cut && body.Error.Outcome != outcome.Outcome(seen.verdict) {
		seen.wrong = fmt.Sprintf("header says %q, body says %q", seen.verdict, body.Error.Outcome)
	}
	return seen
}

// broken returns what a caller saw of a connection that gave no answer.
func broken(err error) result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return result{verdict: Refused, detail: "cannot connect"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result{verdict: Cut, detail: "no answer in time"}
	}
	cause := err
	for errors.Unwrap(cause) != nil {
		cause = errors.Unwrap(cause)
	}
	return result{verdict: Cut, detail: cause.Error()}
}
