package soak

import (
	"strings"
	"testing"
	"time"
)

// TestVerifyAnswered guards against a soak run that misses a request without an answer, or that blames an instance for one whose
// connection ended by the exit of the process or crossed the request.
func TestVerifyAnswered(t *testing.T) {
	tests := []struct {
		name       string
		sent       sentRequest
		cutAfter   time.Duration // from the last byte to the end of the connection
		exitsAfter time.Duration // from the last byte to an exit of the process
		want       string
	}{
		{"answered", sentRequest{}, 0, time.Hour, ""},
		{"cut", sentRequest{writtenAt: baseTime}, 300 * time.Millisecond, time.Hour, "cut without a response 300ms"},
		{"crossed", sentRequest{writtenAt: baseTime}, 100 * time.Millisecond, time.Hour, ""},
		{"process exited", sentRequest{writtenAt: baseTime}, 300 * time.Millisecond, 310 * time.Millisecond, ""},
		{"process exited before", sentRequest{writtenAt: baseTime}, 300 * time.Millisecond, -time.Millisecond, "cut without a response"},
	}
	for _, test := range tests {
		test.sent.instance = "edge0"
		if !test.sent.writtenAt.IsZero() {
			test.sent.cutAt = test.sent.writtenAt.Add(test.cutAfter)
		}
		exits := map[string][]time.Time{"edge0": {baseTime.Add(test.exitsAfter)}}
		got := strings.Join(verifyAnswered([]sentRequest{test.sent}, exits), "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}
