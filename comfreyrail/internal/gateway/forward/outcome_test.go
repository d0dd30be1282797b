package forward

import (
	"net/http/httptest"
	"strconv"
	"testing"
)

// Guards against callers that are refused at the same time retrying at the same time: the Retry-After delays of a hundred
// error responses spread from the minimum delay to twice that.
func TestRetryAfterJitter(t *testing.T) {
	values := make(map[string]bool)
	for range 100 {
		recorder := httptest.NewRecorder()
		writeErrorResponse(recorder, (&job{}).failureResponse("no-room"))
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if err != nil || after < retryAfter.Seconds() || after > 2*retryAfter.Seconds() {
			t.Fatalf("got Retry-After %v, %v, want %v to twice that", after, err, retryAfter)
		}
		values[recorder.Header().Get("Retry-After")] = true
	}
	if got, want := len(values), 15; got < want {
		t.Errorf("got %d different delays, want at least %d", got, want)
	}
}
