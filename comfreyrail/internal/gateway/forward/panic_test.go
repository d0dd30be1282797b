package forward

import (
	"net/http"
	"net/http/httptest"
	"testing"
)

// Guards against the promise that a request has not run whose handler panicked, since it may have run.
func TestPanickedRequestGetsNoPromise(t *testing.T) {
	recorder := httptest.NewRecorder()
	new(Forwarder).RespondPanicked(recorder, nil)
	if got, want := recorder.Code, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}
