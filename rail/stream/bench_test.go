package stream

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// BenchmarkReceipts measures the cost of receipts per token: the size of the encoded frame, its decoding and its checking.
func BenchmarkReceipts(b *testing.B) {
	for _, stages := range []int{3, 8} {
		sample, full := sampleChain(stages)
		traceOnly, bare := full, full
		traceOnly.Receipts = nil
		bare.Receipts, bare.Trace, bare.Sum = nil, 0, 0
		frames := []struct {
			name  string
			frame engine.Frame
		}{{"bare", bare}, {"trace", traceOnly}, {"receipts", full}}
		for _, variant := range frames {
			b.Run(fmt.Sprintf("decode/stages=%d/%s", stages, variant.name), func(b *testing.B) { benchmarkDecode(b, variant.frame) })
			if variant.name != "bare" {
				b.Run(fmt.Sprintf("check/stages=%d/%s", stages, variant.name), func(b *testing.B) { benchmarkAccept(b, sample, variant.frame) })
			}
		}
	}
}

func benchmarkDecode(b *testing.B, frame engine.Frame) {
	line, err := json.Marshal(frame)
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := engine.DecodeFrame(line); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(len(line)), "bytes/frame")
}

// sampleChain returns a chain with the given number of stages and the frame of its first token.
func sampleChain(stages int) (sample chain.Chain, frame engine.Frame) {
	sample.Version = "v1"
	frame = engine.Frame{Stream: "AAAAAAAAAAAAAAAAAAAAAAAAAA", Attempt: 1, Token: "12345678 "}
	for i := range stages {
		stage := engine.Stage{Server: fmt.Sprintf("engine-%02d", i), First: 4 * i, Last: 4*i + 4}
		sample.Stages = append(sample.Stages, stage)
		frame.Receipts = append(frame.Receipts, engine.Receipt{Server: stage.Server, First: stage.First, Last: stage.Last, Version: "v1", Queue: 3})
	}
	frame.Trace = engine.HashReceipts(frame.Receipts)
	frame.Sum = uint64(engine.NewDigest(frame.Stream).Add(frame.Token))
	return sample, frame
}

// benchmarkAccept measures Answer.Accept with answers of 256 tokens.
func benchmarkAccept(b *testing.B, sample chain.Chain, frame engine.Frame) {
	const tokens = 256
	digest := engine.NewDigest(frame.Stream)
	frames := make([]engine.Frame, tokens)
	for i := range frames {
		digest = digest.Add(frame.Token)
		frame.Position, frame.Sum = i, uint64(digest)
		frames[i] = frame
	}
	var answer *Answer
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		if i%tokens == 0 {
			answer = NewAnswer(AnswerConfig{
				Stream: frame.Stream, Layers: 4 * len(sample.Stages), MaxTokens: tokens, Checker: &invariant.Checker{},
			})
			if _, err := answer.StartAttempt(sample); err != nil {
				b.Fatal(err)
			}
		}
		if decision := answer.Accept(frames[i%tokens]); decision.Verdict != Deliver {
			b.Fatal(decision.Reason)
		}
		i++
	}
}
