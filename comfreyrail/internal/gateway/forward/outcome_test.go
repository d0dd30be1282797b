package forward

import (
	"net/http/httptest"
	"strconv"
	"testing"
	"time"
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

// Guards against refused callers who are told to come back while there is still no room, or too late to be served at all.
func TestRetryAfterFollowsWaitForRoom(t *testing.T) {
	tests := []struct {
		name            string
		wait, left      time.Duration
		lowest, highest time.Duration
	}{
		{"no wait known", 0, 20 * time.Second, retryAfter, 2 * retryAfter},
		{"a wait", 4 * time.Second, 20 * time.Second, 2 * time.Second, 4 * time.Second},
		{"a deadline before its end", 4 * time.Second, 5 * time.Second, 1190 * time.Millisecond, 1500 * time.Millisecond},
		{"a near deadline", 4 * time.Second, 100 * time.Millisecond, retryAfter, 2 * retryAfter},
	}
	for _, test := range tests {
		j := &job{deadline: time.Now().Add(test.left)}
		got := j.noRoomResponse(&noChainError{wait: test.wait}).retryAfter
		if got < test.lowest || got > test.highest {
			t.Errorf("%s: got Retry-After %v, want %v to %v", test.name, got, test.lowest, test.highest)
		}
	}
}

// Guards against callers who are refused together and all come back at the same moment, because their deadlines end the wait.
func TestRetryAfterBeforeDeadlineIsSpread(t *testing.T) {
	const left = 20 * time.Second
	shortest, longest := left, time.Duration(0)
	for range 100 {
		j := &job{deadline: time.Now().Add(left)}
		got := j.noRoomResponse(&noChainError{wait: left}).retryAfter
		shortest, longest = min(shortest, got), max(longest, got)
	}
	if got, want := longest-shortest, left/40; got < want {
		t.Errorf("got delays from %v to %v, want them to differ by at least %v", shortest, longest, want)
	}
}
