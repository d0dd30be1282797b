package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// sentRequest is the record of a request and its outcome at the caller.
type sentRequest struct {
	id, kind  string
	instance  string
	key       fakeplatform.APIKey
	sentAt    time.Time
	leavingAt time.Time // when the head of a response arrived which says that the server is leaving, zero if none did
	refused   bool      // the status of the response states that the request did not run
	served    bool      // a complete answer was received, whether correct or not
	writtenAt time.Time // when the last byte was sent on a connection that then ended without a response, zero for other requests
	cutAt     time.Time // when that connection ended
}

// callers holds the requests of all callers and the violations found in their answers. It is safe for concurrent use.
type callers struct {
	mu         sync.Mutex
	lastID     int
	requests   []sentRequest
	violations []string
}

// addViolation records a violation with a formatted message.
func (c *callers) addViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// nextID returns a request id that was not used before.
func (c *callers) nextID() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastID++
	return fmt.Sprintf("r%06d", c.lastID)
}

// requestTimeout is how long a caller waits for a complete answer.
const requestTimeout = 4 * time.Second

// send sends a request of the kind to an instance, checks the answer and records the request.
func (c *callers) send(ctx context.Context, client *http.Client, target *instance, kind string, key fakeplatform.APIKey) {
	c.sendTo(ctx, client, target, "/"+kind+"/x", sentRequest{kind: kind, key: key})
}

// sendCrashing is like send for a request that crashes the servers that begin to run it.
func (c *callers) sendCrashing(ctx context.Context, client *http.Client, target *instance, kind string, key fakeplatform.APIKey) {
	c.sendTo(ctx, client, target, "/"+kind+"/"+fakeplatform.CrashingName, sentRequest{kind: kind, key: key})
}

// sendTo sends the request to a path of an instance.
func (c *callers) sendTo(ctx context.Context, client *http.Client, target *instance, path string, sent sentRequest) {
	sent.id, sent.instance, sent.sentAt = c.nextID(), target.name, time.Now()
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	var writtenAt atomic.Pointer[time.Time]
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{WroteRequest: func(info httptrace.WroteRequestInfo) {
		if now := time.Now(); info.Err == nil {
			writtenAt.Store(&now)
		}
	}})
	request, err := fakeplatform.NewRequest(traced, target.callerAddress, path, sent.id, sent.key)
	if err != nil {
		c.addViolation("%s: %v", sent.id, err)
		return
	}
	response, err := client.Do(request)
	if err == nil {
		if fakeplatform.Leaving(response.Header) {
			sent.leavingAt = time.Now()
		}
		c.checkResponse(&sent, response)
		_ = response.Body.Close()
	} else if at := writtenAt.Load(); at != nil && ctx.Err() == nil {
		sent.writtenAt, sent.cutAt = *at, time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.requests = append(c.requests, sent)
}

// checkResponse checks a response by its status; statuses other than success and refusal are not checked.
func (c *callers) checkResponse(sent *sentRequest, response *http.Response) {
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout, http.StatusMisdirectedRequest:
		sent.refused = true
	case http.StatusOK:
		if !fakeplatform.Signed(response.Header) {
			c.addViolation("%s: success without the signature of a backend server", sent.id)
		}
		if sent.kind == "stream" {
			c.checkStream(sent, response.Body)
			return
		}
		c.checkPlain(sent, response.Body)
	}
}

// checkPlain checks that a complete answer is the expected one; an incomplete answer is ignored.
func (c *callers) checkPlain(sent *sentRequest, body io.Reader) {
	content, err := io.ReadAll(body)
	if err != nil {
		return
	}
	if got, want := string(content), "answer to "+sent.id; got != want {
		c.addViolation("%s: got %q as a complete answer, want %q", sent.id, got, want)
	}
	sent.served = true
}

// checkStream checks that each event arrives once and in order, and that a stream which ends without an error is complete.
func (c *callers) checkStream(sent *sentRequest, body io.Reader) {
	last := 0
	scanner := bufio.NewScanner(body)
	for scanner.Scan() {
		line := scanner.Text()
		var id int
		if _, err := fmt.Sscanf(line, "id: %d", &id); err == nil {
			if id != last+1 {
				c.addViolation("%s: event %d follows %d", sent.id, id, last)
			}
			last = id
		}
		if data, ok := strings.CutPrefix(line, "data: "); ok && data != sent.id {
			c.addViolation("%s: got an event of %s", sent.id, data)
		}
	}
	if scanner.Err() != nil {
		return
	}
	if last != fakeplatform.StreamEvents {
		c.addViolation("%s: a stream ended without an error after event %d of %d", sent.id, last, fakeplatform.StreamEvents)
	}
	sent.served = true
}

// maxRevocationDelay is the maximum time after the revocation of a key in which new requests with it may still run.
const maxRevocationDelay = 5 * time.Second

// verify compares the answers with the runs at the backend servers. It returns all violations, including those found in the
// answers, and the number of requests served; revoked holds the time of revocation by API key.
func (c *callers) verify(runs []fakeplatform.Run, revoked map[string]time.Time) (violations []string, served int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	runCounts := make(map[string]int)
	workspaces := make(map[string]string)
	for _, run := range runs {
		runCounts[run.RequestID]++
		workspaces[run.RequestID] = run.Workspace
	}
	violations = append(violations, c.violations...)
	for _, sent := range c.requests {
		runCount := runCounts[sent.id]
		if sent.served {
			served++
		}
		if sent.kind == "once" && runCount > 1 {
			violations = append(violations, fmt.Sprintf("%s may run at most once and ran %d times", sent.id, runCount))
		}
		if sent.refused && sent.kind == "once" && runCount > 0 {
			violations = append(violations, fmt.Sprintf("%s was refused as not run, but ran", sent.id))
		}
		if runCount > 0 && workspaces[sent.id] != sent.key.Workspace {
			violations = append(violations, fmt.Sprintf("%s ran for workspace %q, but its key belongs to %q", sent.id, workspaces[sent.id], sent.key.Workspace))
		}
		if revokedAt, isRevoked := revoked[sent.key.Value]; isRevoked && runCount > 0 && sent.sentAt.After(revokedAt.Add(maxRevocationDelay)) {
			violations = append(violations, fmt.Sprintf("%s was sent %v after its key was revoked, but ran", sent.id, sent.sentAt.Sub(revokedAt)))
		}
	}
	return violations, served
}
