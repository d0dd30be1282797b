package forward

import (
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against another attempt at a stream whose first event came too late: the context must have ended once begin fails, not only
// when the goroutine of the timer has run.
func TestContextHasEndedOnceBeginFails(t *testing.T) {
	const rounds = 100_000
	open := 0
	for range rounds {
		j := &job{route: &route.Route{Kind: route.Stream}, startedAt: time.Now()}
		j.deadline = j.startedAt.Add(20 * time.Microsecond)
		ctx, cancel := j.limitBegin(t.Context())
		for time.Now().Before(j.deadline) {
		}
		if j.begin() != nil && ctx.Err() == nil {
			open++
		}
		cancel()
	}
	if open > 0 {
		t.Errorf("got %d of %d contexts that had not ended although begin failed, want none", open, rounds)
	}
}
