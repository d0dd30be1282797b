package soak

import (
	"testing"
	"time"
)

// TestVerifyResponses guards against a soak run that misses a request without a response, and against one that blames an instance
// whose process exited.
func TestVerifyResponses(t *testing.T) {
	at := func(seconds float64) time.Time { return baseTime.Add(time.Duration(seconds * float64(time.Second))) }
	tests := []struct {
		name  string
		cutAt time.Time
		exits map[string][]time.Time
		want  int
	}{
		{"answered", time.Time{}, nil, 0},
		{"cut", at(2), nil, 1},
		{"cut at an exit", at(2), map[string][]time.Time{"i": {at(2.1)}}, 0},
		{"cut long before an exit", at(2), map[string][]time.Time{"i": {at(3.1)}}, 1},
		{"cut long after an exit", at(2), map[string][]time.Time{"i": {at(-1)}}, 1},
		{"cut at the exit of another instance", at(2), map[string][]time.Time{"j": {at(2)}}, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			violations := verifyResponses([]sentRequest{{id: "r", instance: "i", sentAt: at(1), cutAt: test.cutAt}}, test.exits)
			if got := len(violations); got != test.want {
				t.Errorf("got violations %v, want %d", violations, test.want)
			}
		})
	}
}
