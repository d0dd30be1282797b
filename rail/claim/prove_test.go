package claim

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// maxSteps is the maximum number of steps of one history; a stable one may have stableFactor times as many.
const maxSteps = 400

// stableFactor is the factor by which stable histories are longer.
const stableFactor = 5

// steps lists the kinds of steps, each as often as its weight in the random choice.
var steps = []string{
	"request", "request", "minted request", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"advance", "advance", "advance", "advance", "fault",
}

// TestProveOnce checks in random histories with frozen and restarted instances, late and lost writes and outages that no
// request with an idempotency key runs twice, and that callers are answered Done or NotRun only if that is true.
func TestProveOnce(t *testing.T) {
	ran := 0
	proptest.Run(t, "once", func(rt *rapid.T, tally *proptest.Tally) {
		s := newSimulation(rt, tally)
		length := s.between(20, maxSteps)
		if s.stable = s.between(0, 3) == 0; s.stable {
			length *= stableFactor
		}
		for range length {
			tally.Operations++
			switch pick(s, steps) {
			case "request":
				s.sendRequest()
			case "minted request":
				s.sendMintedRequest()
			case "deliver":
				s.deliver()
			case "advance":
				s.stepRequest()
			case "fault":
				s.injectFault()
			}
			s.checkAnswers()
		}
		ran += len(s.runs)
	})
	if ran == 0 {
		t.Error("got no request with a key that ran, want some")
	}
	t.Logf("%d requests with a key ran", ran)
}
