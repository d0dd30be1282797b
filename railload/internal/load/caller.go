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

// workspaceHeader is the header that holds the caller's workspace.
const workspaceHeader = "Comfrey-Workspace"

// idempotencyKeyHeader is the header that holds a caller's idempotency key.
const idempotencyKeyHeader = "Idempotency-Key"

// maxAnswerBytes is the maximum number of bytes that are read of an answer that is not streamed.
const maxAnswerBytes = 8 << 20

// caller sends one request.
type caller struct {
	config  Config
	target  *target
	arrival Arrival
	// intended is the scheduled time of the request; latency is measured from it.
	intended time.Time
}

// call sends the request, waits for the answer and returns the result.
func (c *caller) call(ctx context.Context) (res result) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if c.arrival.Kind == Plain {
		res = c.callPlain(ctx)
	} else {
		res = c.streamCompletion(ctx)
	}
	res.endToEnd = time.Since(c.intended)
	return res
}

// post sends the body. It clears GetBody, so that the HTTP client cannot retry the request by itself.
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

// callPlain sends a plain call and checks the answer.
func (c *caller) callPlain(ctx context.Context) result {
	body := "body of " + c.arrival.CallID
	header := http.Header{fakeservice.CallHeader: {c.arrival.CallID}}
	if c.arrival.Keyed {
		header.Set(idempotencyKeyHeader, c.arrival.CallID)
	}
	response, err := c.post(ctx, c.config.Path, []byte(body), header)
	if err != nil {
		return connectionResult(err)
	}
	defer response.Body.Close()
	content, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return connectionResult(err)
	}
	if response.Header.Get(outcome.Header) != string(outcome.Done) {
		return failureResult(response, content)
	}
	var answer fakeservice.Result
	if err = json.Unmarshal(content, &answer); err != nil {
		return result{verdict: Done, failedCheck: fmt.Sprintf("malformed answer %q: %v", content, err)}
	}
	want := fakeservice.Result{Server: answer.Server, Call: c.arrival.CallID, Runs: 1, Body: body}
	if answer != want {
		return result{verdict: Done, failedCheck: fmt.Sprintf("got %+v, want %+v", answer, want)}
	}
	return result{verdict: Done}
}

// failureResult returns the result for a response whose outcome is not done; content is its body.
func failureResult(response *http.Response, content []byte) result {
	var body struct {
		Error outcome.Failure `json:"error"`
	}
	_ = json.Unmarshal(content, &body)
	res := result{code: string(body.Error.Code), detail: body.Error.Message}
	switch outcome.Outcome(response.Header.Get(outcome.Header)) {
	case outcome.NotRun:
		res.verdict = NotRun
	case outcome.Unknown:
		res.verdict = Unknown
	default:
		res.verdict, res.detail = Broken, fmt.Sprintf("status %d without an outcome", response.StatusCode)
	}
	if res.verdict != Broken && body.Error.Outcome != outcome.Outcome(res.verdict) {
		res.failedCheck = fmt.Sprintf("outcome is %q in the header, but %q in the body", res.verdict, body.Error.Outcome)
	}
	return res
}

// connectionResult returns the result of a request that failed with an error instead of a complete answer.
func connectionResult(err error) result {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return result{verdict: Unreachable, detail: "cannot connect"}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return result{verdict: Broken, detail: "no answer in time"}
	}
	cause := err
	for errors.Unwrap(cause) != nil {
		cause = errors.Unwrap(cause)
	}
	return result{verdict: Broken, detail: cause.Error()}
}
