package forward

import (
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// ServeStopping answers a request that comes while the instance stops and must not run here.
func (f *Forwarder) ServeStopping(w http.ResponseWriter, _ *http.Request) { refuse(w, stopping()) }

func stopping() *refusal {
	return &refusal{status: http.StatusServiceUnavailable, code: "stopping", after: elsewhereAfter}
}

// stop is when a planned stop of the instance takes effect; the times keep their reading of the steady clock.
type stop struct {
	lag time.Time // until when the balancer may still send new callers here
	cut time.Time // when requests in progress are cut
}

// PlanStop tells that requests which are still in progress at the time are cut, and until when the balancer may still send
// new callers here, so that a refusal would meet them again.
func (f *Forwarder) PlanStop(lag, at time.Time) { f.stop.Store(&stop{lag: lag, cut: at}) }

// stopMargin is how long before the cut a request must be expected to end.
const stopMargin = time.Second

// endsInTime reports whether a request is expected to end before the instance stops, or has nowhere else to go yet.
func (f *Forwarder) endsInTime(j *job) bool {
	planned := f.stop.Load()
	if planned == nil || time.Now().Before(planned.lag) {
		return true
	}
	expected := j.route.LatencyTarget
	if j.route.Kind == route.Stream {
		expected += time.Duration(max(j.request.LengthHint, j.request.MaxTokens/2)) * time.Duration(f.tokenTime.Load())
	}
	return time.Until(planned.cut) > expected+stopMargin
}

// firstTokenTime is the time between tokens that is expected before any has been seen.
const firstTokenTime = 15 * time.Millisecond

// tokenMemory is the part that one stream has in the expected time between tokens.
const tokenMemory = 16

// learn takes the time that a stream took for each token.
func (f *Forwarder) learn(j *job) {
	if j.tokens <= 0 || j.first <= 0 {
		return
	}
	seen := int64(time.Since(j.began)-j.first) / int64(j.tokens)
	held := f.tokenTime.Load()
	f.tokenTime.Store(held + (seen-held)/tokenMemory)
}
