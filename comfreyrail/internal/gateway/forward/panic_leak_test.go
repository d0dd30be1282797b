package forward

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/call"
)

// Guards against callers that are refused for lack of room since the memory that a panicked attempt had reserved is never returned.
func TestPanicReturnsReservedMemory(t *testing.T) {
	tests := []struct {
		name     string
		panicked int32 // the attempt that panics
	}{{"first attempt", 1}, {"successor", 2}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			respond := firstThen(respondWithSilence(2), respondWithSilence(-1))
			one, two := newServer(t, "one", respond), newServer(t, "two", respond)
			one.card, two.card = "card", "card"
			g := newGateway(t, useEngines, one, two)
			var attempts atomic.Int32
			g.forwarder.config.WriteBackendRequest = func(header http.Header, forward call.BackendRequest) {
				if attempts.Add(1) == test.panicked {
					panic("broken")
				}
				writeBackendRequest(header, forward)
			}
			request := httptest.NewRequest(http.MethodPost, "http://127.0.0.1/stream/", http.NoBody)
			request.Header.Set("Id", "r1")
			func() {
				defer func() { _ = recover() }()
				g.forwarder.ServeHTTP(httptest.NewRecorder(), request)
			}()
			if got, want := attempts.Load(), test.panicked; got < want {
				t.Fatalf("got %d attempts, want %d", got, want)
			}
			time.Sleep(50 * time.Millisecond)
			for id, usage := range g.forwarder.Usage() {
				if usage.ReservedKV > 0 {
					t.Errorf("got %v tokens times layers reserved at %s after the request has ended, want none", usage.ReservedKV, id)
				}
			}
		})
	}
}
