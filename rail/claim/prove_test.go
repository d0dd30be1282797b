package claim

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// maxSteps is the greatest number of steps of one history.
const maxSteps = 400

// calmSteps is the factor by which calm histories are longer.
const calmSteps = 5

// steps are the kinds of steps, as often as they are to be drawn.
var steps = []string{
	"call", "call", "minted", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver", "deliver",
	"advance", "advance", "advance", "advance", "disturb",
}

func TestProveOnce(t *testing.T) {
	ran := 0
	proptest.Run(t, "once", func(rt *rapid.T, tally *proptest.Tally) {
		w := newWorld(rt, tally)
		length := w.between(20, maxSteps)
		if w.calm = w.between(0, 3) == 0; w.calm {
			length *= calmSteps
		}
		for range length {
			tally.Operations++
			switch pick(w, steps) {
			case "call":
				w.call()
			case "minted":
				w.callMinted()
			case "deliver":
				w.deliver()
			case "advance":
				w.advance()
			case "disturb":
				w.disturb()
			}
			w.check()
		}
		ran += len(w.runs)
	})
	if ran == 0 {
		t.Error("got no keyed request that ran, want some")
	}
	t.Logf("%d keyed requests ran", ran)
}
