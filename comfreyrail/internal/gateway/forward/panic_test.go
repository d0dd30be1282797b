package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/call"
)

// Guards against a panic at the start of another attempt that ends the process with all requests in progress.
func TestPanicOfSuccessorKeepsStream(t *testing.T) {
	respond := firstThen(respondWithSilence(2), respondWithSilence(-1))
	g := newGateway(t, nil, newServer(t, "one", respond), newServer(t, "two", respond))
	var attempts atomic.Int32
	g.forwarder.config.WriteBackendRequest = func(header http.Header, forward call.BackendRequest) {
		if attempts.Add(1) == 2 {
			panic("broken")
		}
		writeBackendRequest(header, forward)
	}
	response, body, complete := g.send(t, "/stream/", "")
	if response.StatusCode != http.StatusOK || body != wholeStream() || !complete {
		t.Errorf("got status %d, complete %v, body %q, want the whole stream", response.StatusCode, complete, body)
	}
	if attempts.Load() < 2 {
		t.Error("got no other attempt, want one that panics")
	}
}

// Guards against the promise that a request has not run whose handler panicked, since it may have run.
func TestPanickedRequestGetsNoPromise(t *testing.T) {
	recorder := httptest.NewRecorder()
	new(Forwarder).RespondPanicked(recorder, nil)
	if got, want := recorder.Code, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
