package stream

import (
	"fmt"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Verdict is what to do with a frame.
type Verdict int

const (
	// Drop means that the frame must not reach the caller.
	Drop Verdict = iota
	// Deliver means that the token is the caller's next one.
	Deliver
	// Finish means that the answer is complete.
	Finish
	// Fail means that the attempt has failed.
	Fail
)

// NoStage is the stage index of a Decision that no single stage caused.
const NoStage = -1

// Decision is a Verdict on a frame with its reason.
type Decision struct {
	// Verdict is what to do with the frame.
	Verdict Verdict
	// Reason is the reason for a Drop or a Fail.
	Reason string
	// Stage is the index of the stage that caused a Fail, or NoStage.
	Stage int
}

// Answer holds the state of one answer across all its attempts. It is not safe for concurrent use.
type Answer struct {
	stream    string
	layers    int
	maxTokens int
	checker   *invariant.Checker

	attempt           int
	chain             chain.Chain
	version           string
	chainReceiptsHash engine.ReceiptsHash
	tokens            []string
	digest            engine.Digest
	finish            engine.FinishReason
}

// AnswerConfig configures an Answer.
type AnswerConfig struct {
	// Stream is the ID of the caller's request.
	Stream string
	// Layers is the number of layers of the model.
	Layers int
	// MaxTokens is the maximum number of tokens in the answer.
	MaxTokens int
	// Checker counts and reports violated invariants.
	Checker *invariant.Checker
}

// NewAnswer returns an Answer without tokens.
func NewAnswer(config AnswerConfig) *Answer {
	return &Answer{
		stream: config.Stream, layers: config.Layers, maxTokens: config.MaxTokens, checker: config.Checker,
		digest: engine.NewDigest(config.Stream),
	}
}

// StartAttempt starts the next attempt on the chain and returns its number. It returns an error if the chain does not
// cover every layer exactly once, or if it has another model version than the tokens delivered so far.
func (a *Answer) StartAttempt(chosen chain.Chain) (attempt int, err error) {
	if !chosen.Covers(a.layers) {
		return 0, fmt.Errorf("plan %v does not cover %d layers once", chosen.Stages, a.layers)
	}
	// All tokens of an answer come from one model version.
	if len(a.tokens) > 0 && chosen.Version != a.version {
		return 0, fmt.Errorf("plan of version %q cannot go on with an answer of version %q", chosen.Version, a.version)
	}
	a.attempt++
	a.chain, a.version, a.chainReceiptsHash = chosen, chosen.Version, hashChainReceipts(chosen)
	return a.attempt, nil
}

// hashChainReceipts returns the hash of the receipts of a token that every stage of the chain has run.
func hashChainReceipts(chosen chain.Chain) (hash engine.ReceiptsHash) {
	for _, stage := range chosen.Stages {
		hash = hash.Add(engine.Receipt{Server: stage.Server, First: stage.First, Last: stage.Last, Version: chosen.Version})
	}
	return hash
}

// CurrentAttempt returns the number and the chain of the latest attempt. The number is zero before the first attempt.
func (a *Answer) CurrentAttempt() (attempt int, chosen chain.Chain) { return a.attempt, a.chain }

// Tokens returns the tokens delivered so far, which must not be changed.
func (a *Answer) Tokens() []string { return a.tokens }

// Complete reports whether the whole answer has been delivered.
func (a *Answer) Complete() bool { return a.finish != "" }

// FinishReason returns the reason why the answer is complete, or the empty string while it is not.
func (a *Answer) FinishReason() engine.FinishReason { return a.finish }

// Accept checks one frame and returns what to do with it. If its token is to be delivered, Accept adds it to the answer.
func (a *Answer) Accept(frame engine.Frame) Decision {
	switch {
	case a.Complete():
		return drop("the answer is complete")
	case frame.Stream != a.stream:
		return a.failLastStage("frame of stream %q on stream %q", frame.Stream, a.stream)
	case frame.Attempt != a.attempt:
		return drop("frame of another attempt")
	case frame.Error != "":
		return fail("%s", frame.Error)
	case frame.Alive:
		return drop("alive")
	case frame.Position < len(a.tokens):
		return drop("position already delivered")
	case frame.Position > len(a.tokens):
		return a.failLastStage("position %d follows %d tokens", frame.Position, len(a.tokens))
	case frame.End:
		return a.acceptEnd(frame)
	}
	return a.acceptToken(frame)
}

func drop(reason string) Decision { return Decision{Verdict: Drop, Reason: reason, Stage: NoStage} }

func fail(format string, args ...any) Decision {
	return Decision{Verdict: Fail, Reason: fmt.Sprintf(format, args...), Stage: NoStage}
}

// failLastStage returns a Fail caused by the last stage, which sends the frames.
func (a *Answer) failLastStage(format string, args ...any) Decision {
	decision := fail(format, args...)
	decision.Stage = len(a.chain.Stages) - 1
	return decision
}

// acceptToken handles a frame with the next token.
func (a *Answer) acceptToken(frame engine.Frame) Decision {
	if len(a.tokens) >= a.maxTokens {
		return a.failLastStage("token %d exceeds the limit of %d", frame.Position, a.maxTokens)
	}
	if decision := a.checkReceipts(frame); decision.Verdict == Fail {
		return decision
	}
	digest := a.digest.Add(frame.Token)
	if frame.Sum != uint64(digest) {
		return a.failLastStage("the sum of token %d differs from that of the answer up to it", frame.Position)
	}
	if err := a.checkInvariants(frame); err != nil {
		return fail("%v", err)
	}
	a.tokens = append(a.tokens, frame.Token)
	a.digest = digest
	return Decision{Verdict: Deliver, Stage: NoStage}
}

// checkInvariants checks the invariants that hold for every token that reaches the caller.
func (a *Answer) checkInvariants(frame engine.Frame) error {
	if err := a.checker.Check(frame.Stream == a.stream && frame.Attempt == a.attempt, "stream.own",
		"token of stream %q attempt %d in attempt %d of %q", frame.Stream, frame.Attempt, a.attempt, a.stream); err != nil {
		return err
	}
	if err := a.checker.Check(frame.Position == len(a.tokens), "stream.contiguous",
		"position %d follows %d tokens", frame.Position, len(a.tokens)); err != nil {
		return err
	}
	covered := a.chain.Covers(a.layers) && a.chain.Version == a.version && frame.Trace == hashChainReceipts(a.chain)
	return a.checker.Check(covered, "stream.layers", "receipts %v in place of %v of version %q for %d layers",
		frame.Receipts, a.chain.Stages, a.version, a.layers)
}

// acceptEnd handles the frame after the last token.
func (a *Answer) acceptEnd(frame engine.Frame) Decision {
	last := len(a.chain.Stages) - 1
	switch {
	case frame.Finish != engine.FinishLength && frame.Finish != engine.FinishStop:
		return a.failLastStage("finish reason %q is unknown", frame.Finish)
	case frame.Finish == engine.FinishLength && len(a.tokens) != a.maxTokens:
		return a.failLastStage("answer ended after %d of %d tokens", len(a.tokens), a.maxTokens)
	case frame.Sum != uint64(a.digest):
		return a.failLastStage("the sum of the answer differs from that of the %d tokens delivered", len(a.tokens))
	case len(frame.Receipts) != 1 || !receiptMatches(&frame.Receipts[0], &a.chain.Stages[last], a.chain.Version):
		return a.failLastStage("the end bears no receipt of the last stage")
	}
	err := a.checker.Check(frame.Position == len(a.tokens) && frame.Attempt == a.attempt && frame.Stream == a.stream && frame.Sum == uint64(a.digest),
		"stream.whole", "end %+v after %d tokens", frame, len(a.tokens))
	if err != nil {
		return fail("%v", err)
	}
	a.finish = frame.Finish
	return Decision{Verdict: Finish, Stage: NoStage}
}

// checkReceipts returns a Fail if the stages that ran the token differ from the chain. If they match, it returns the
// zero Verdict, which has no meaning here. If the frame has receipts, they identify the stage that differs.
func (a *Answer) checkReceipts(frame engine.Frame) Decision {
	if len(frame.Receipts) == 0 && frame.Trace == a.chainReceiptsHash {
		return Decision{Stage: NoStage}
	}
	if len(frame.Receipts) != len(a.chain.Stages) {
		return a.failLastStage("%d receipts for %d stages", len(frame.Receipts), len(a.chain.Stages))
	}
	for i := range frame.Receipts {
		if !receiptMatches(&frame.Receipts[i], &a.chain.Stages[i], a.chain.Version) {
			decision := fail("stage %d: receipt %+v differs from plan %+v of version %q", i, frame.Receipts[i], a.chain.Stages[i], a.chain.Version)
			decision.Stage = i
			return decision
		}
	}
	if frame.Trace != a.chainReceiptsHash {
		return a.failLastStage("trace %d differs from that of the receipts", frame.Trace)
	}
	return Decision{Stage: NoStage}
}

// receiptMatches reports whether the receipt is that of the stage with the model version.
func receiptMatches(receipt *engine.Receipt, stage *engine.Stage, version string) bool {
	return receipt.Server == stage.Server && receipt.First == stage.First && receipt.Last == stage.Last && receipt.Version == version
}
