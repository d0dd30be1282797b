package stream

import (
	"fmt"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Verdict says what to do with a frame.
type Verdict int

const (
	// Drop means that the frame must not reach the caller.
	Drop Verdict = iota
	// Deliver means that the token is the caller's next one.
	Deliver
	// Finish means that the answer is whole.
	Finish
	// Fail means that the attempt cannot go on.
	Fail
)

// Decision is a Verdict with its reason.
type Decision struct {
	// Verdict says what to do with the frame.
	Verdict Verdict
	// Reason says why a frame was dropped or an attempt failed.
	Reason string
}

// Answer tracks one answer over all its attempts; it is not safe for concurrent use.
type Answer struct {
	// Stream identifies the request.
	Stream string
	// Layers is the number of layers of the model.
	Layers int
	// MaxTokens is the number of tokens in a whole answer.
	MaxTokens int

	attempt int
	plan    chain.Plan
	tokens  []string
	whole   bool
}

// Attempt starts the next attempt on the plan and returns its number.
func (a *Answer) Attempt(plan chain.Plan) (attempt int, err error) {
	if !plan.Covers(a.Layers) {
		return 0, fmt.Errorf("plan %v does not cover %d layers once", plan.Hops, a.Layers)
	}
	a.attempt++
	a.plan = plan
	return a.attempt, nil
}

// Tokens returns the tokens delivered so far; the caller must not change them.
func (a *Answer) Tokens() []string { return a.tokens }

// Whole reports whether the whole answer has been delivered.
func (a *Answer) Whole() bool { return a.whole }

// Accept decides about one frame of the current attempt's connection.
func (a *Answer) Accept(frame engine.Frame) Decision {
	switch {
	case a.whole:
		return Decision{Drop, "the answer is whole"}
	case frame.Stream != a.Stream:
		return Decision{Fail, fmt.Sprintf("frame of stream %q on stream %q", frame.Stream, a.Stream)}
	case frame.Attempt != a.attempt:
		return Decision{Drop, fmt.Sprintf("frame of attempt %d during attempt %d", frame.Attempt, a.attempt)}
	case frame.Error != "":
		return Decision{Fail, frame.Error}
	case frame.Alive:
		return Decision{Drop, "alive"}
	case frame.Position < len(a.tokens):
		return Decision{Drop, fmt.Sprintf("position %d was delivered before", frame.Position)}
	case frame.Position > len(a.tokens):
		return Decision{Fail, fmt.Sprintf("position %d follows %d tokens", frame.Position, len(a.tokens))}
	case frame.End:
		return a.end()
	}
	if reason := a.checkReceipts(frame.Receipts); reason != "" {
		return Decision{Fail, reason}
	}
	a.tokens = append(a.tokens, frame.Token)
	return Decision{Verdict: Deliver}
}

func (a *Answer) end() Decision {
	if len(a.tokens) != a.MaxTokens {
		return Decision{Fail, fmt.Sprintf("answer ended after %d of %d tokens", len(a.tokens), a.MaxTokens)}
	}
	a.whole = true
	return Decision{Verdict: Finish}
}

// checkReceipts returns why the receipts differ from the plan, or nothing.
func (a *Answer) checkReceipts(receipts []engine.Receipt) string {
	if len(receipts) != len(a.plan.Hops) {
		return fmt.Sprintf("%d receipts for %d stages", len(receipts), len(a.plan.Hops))
	}
	for i, hop := range a.plan.Hops {
		receipt := receipts[i]
		same := receipt.Server == hop.Server && receipt.First == hop.First && receipt.Last == hop.Last
		if !same || receipt.Version != a.plan.Version {
			return fmt.Sprintf("stage %d: receipt %+v differs from plan %+v of version %q", i, receipt, hop, a.plan.Version)
		}
	}
	return ""
}
