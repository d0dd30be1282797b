package stream

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/proof"
)

func TestProveAnswer(t *testing.T) {
	proof.Run(t, "answer", func(rt *rapid.T, tally *proof.Tally) {
		plan := chain.Plan{Version: "v1", Hops: []engine.Hop{{Server: "a", First: 0, Last: 2}, {Server: "b", First: 2, Last: 4}}}
		answer := Answer{Stream: "s", Layers: 4, MaxTokens: 5}
		if _, err := answer.Attempt(plan); err != nil {
			rt.Fatal(err)
		}
		for range rapid.IntRange(1, 40).Draw(rt, "frames") {
			tally.Operations++
			frame := engine.Frame{
				Stream:   rapid.SampledFrom([]string{"s", "s", "s", "other"}).Draw(rt, "stream"),
				Attempt:  rapid.IntRange(0, 2).Draw(rt, "attempt"),
				Position: rapid.IntRange(0, 5).Draw(rt, "position"),
				End:      rapid.Bool().Draw(rt, "end"),
			}
			before := len(answer.Tokens())
			decision := answer.Accept(frame)
			if decision.Verdict == Finish && before != answer.MaxTokens {
				tally.Violate(rt, "finished after %d tokens", before)
			}
		}
	})
}
