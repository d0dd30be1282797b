package claims

import (
	"context"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Request is a request that bears an idempotency key.
type Request struct {
	// Key is the key with its workspace and route.
	Key claim.Key
	// Digest is the hash of the request.
	Digest claim.Digest
	// Run runs the request; its error is an outcome.Failure.
	Run func(ctx context.Context) (answer []byte, err error)
}

// StatusQuery asks the owner of a claim about it.
type StatusQuery struct {
	// Owner is the incarnation that owns the claim.
	Owner string `cbor:"1,keyasint"`
	// Sequence is the number of the claim.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Run runs the request if this instance wins the claim of its key, and returns the answer of the run.
//
// The error is an outcome.Failure.
func (c *Claims) Run(ctx context.Context, request Request) (answer []byte, err error) {
	verdict, err := c.claim(ctx, request)
	if err != nil {
		return nil, err
	}
	return c.obey(ctx, verdict, request)
}

// obey does what the verdict says.
func (c *Claims) obey(ctx context.Context, verdict claim.Decision, request Request) (answer []byte, err error) {
	switch verdict.Verdict {
	case claim.Granted:
		return c.runWon(ctx, verdict.Handle, request)
	case claim.HeldLocally:
		return told(c.await(ctx, verdict.Sequence))
	case claim.HeldRemotely:
		return told(c.ask(ctx, verdict.Entry))
	case claim.Mismatch:
		return nil, outcome.NotRunf(outcome.CodeMismatch, "the idempotency key was used for another request; use a new key")
	case claim.Expired:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "the idempotency key was minted too long ago; its request may have run")
	case claim.Full:
		return nil, refused(outcome.CodeOverload, "too many idempotency keys are in use; this call was not run")
	default:
		return nil, refused(outcome.CodeStore, "the idempotency key cannot be claimed while the platform's service is out; this call was not run")
	}
}

// retryAfter is the time after which a caller may try again.
const retryAfter = time.Second

func refused(code outcome.Code, message string) error {
	failure := outcome.NotRunf(code, "%s", message)
	failure.RetryAfter = retryAfter
	return failure
}

// claim asks for the claim and waits for the verdict, which comes by the deadline.
func (c *Claims) claim(ctx context.Context, request Request) (claim.Decision, error) {
	wait := claimTimeout
	if c.outage.Load() {
		wait = outageTimeout
	}
	deadline := time.Now().Add(wait)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	reply := make(chan claim.Decision, 1)
	want := claim.Request{Key: request.Key, Digest: request.Digest, Deadline: deadline}
	if c.send(wanted{want: want, reply: reply}) {
		select {
		case verdict := <-reply:
			return verdict, nil
		case <-c.stopped:
		}
	}
	return claim.Decision{}, refused(outcome.CodeStopping, "the instance is stopping; this call was not run")
}

// runWon runs a request whose claim this instance has won.
func (c *Claims) runWon(ctx context.Context, handle uint64, request Request) (answer []byte, err error) {
	reply := make(chan bool, 1)
	started := false
	if c.send(starting{handle: handle, reply: reply}) {
		select {
		case started = <-reply:
		case <-c.stopped:
		}
	}
	if !started {
		return nil, refused(outcome.CodeDeadline, "the claim of the idempotency key came too late; this call was not run")
	}
	// A panic leaves the outcome unknown to everyone who asks later.
	ended := finished{handle: handle, state: claim.Unknown}
	defer func() { c.send(ended) }()
	answer, err = request.Run(ctx)
	switch {
	case err == nil && len(answer) <= maxKeptAnswer:
		ended.state, ended.answer = claim.Done, answer
	case err == nil:
		ended.state = claim.Done
	case outcome.FromError(err).Outcome == outcome.NotRun:
		ended.state = claim.NotRun
	}
	return answer, err
}

// await waits until the request of a claim of this instance has ended or the context has.
func (c *Claims) await(ctx context.Context, sequence uint64) claim.Status {
	reply := make(chan claim.Status, 1)
	if !c.send(awaited{sequence: sequence, reply: reply}) {
		return claim.Status{State: claim.Unknown}
	}
	select {
	case answer := <-reply:
		return answer
	case <-c.stopped:
		return claim.Status{State: claim.Unknown}
	case <-ctx.Done():
		return claim.Status{State: claim.Running}
	}
}

// Times of questions to owners.
const (
	// questionWait is the longest time for which an owner keeps a question while the request runs.
	questionWait = time.Second
	// questionTimeout is the time after which an owner counts as silent.
	questionTimeout = 3 * time.Second
)

// ask returns what the record, or else the owner, tells about a claim of another incarnation.
//
// The question is repeated while the request runs and the owner is a member of the fleet.
func (c *Claims) ask(ctx context.Context, entry claim.Entry) claim.Status {
	recorded := claim.Status{State: entry.State, Response: entry.Response}
	if entry.State == claim.Running {
		recorded.State = claim.Unknown
	}
	if len(recorded.Response) > 0 || c.config.QueryOwner == nil {
		return recorded
	}
	question := StatusQuery{Owner: entry.Owner, Sequence: entry.Sequence}
	for ctx.Err() == nil {
		owner, ok := c.member(entry.Owner)
		if !ok {
			return recorded
		}
		answer, err := c.askOnce(ctx, owner, question)
		if err != nil {
			c.config.Log.WithError(err).Warn("cannot ask the owner of a claim")
			return recorded
		}
		if answer.State != claim.Running {
			return answer
		}
	}
	return claim.Status{State: claim.Running}
}

// askOnce asks the owner; a caller that goes away does not end the question, which would close the connection.
func (c *Claims) askOnce(ctx context.Context, owner member.Member, question StatusQuery) (answer claim.Status, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), questionTimeout)
	defer cancel()
	return c.config.QueryOwner(ctx, owner, question)
}

// member returns the instance that runs the incarnation.
func (c *Claims) member(incarnation string) (found member.Member, ok bool) {
	if c.config.Members == nil {
		return member.Member{}, false
	}
	for _, other := range c.config.Members() {
		if other.Incarnation == incarnation {
			return other, true
		}
	}
	return member.Member{}, false
}

// KindStatusQuery is the kind of a StatusQuery to another instance, which is answered by a claim.Status.
const KindStatusQuery peer.Kind = "claim"

// ServePeer answers a StatusQuery that came from another instance.
func (c *Claims) ServePeer(ctx context.Context, from member.Member, body []byte) (answer any, err error) {
	var question StatusQuery
	if err = peer.Decode(body, &question); err != nil {
		return nil, err
	}
	return c.ServeStatusQuery(ctx, from, question), nil
}

// ServeStatusQuery answers another instance about a claim of this one.
func (c *Claims) ServeStatusQuery(ctx context.Context, _ member.Member, question StatusQuery) claim.Status {
	if question.Owner != c.config.Owner {
		return claim.Status{State: claim.Unknown}
	}
	ctx, cancel := context.WithTimeout(ctx, questionWait)
	defer cancel()
	return c.await(ctx, question.Sequence)
}

// told returns what a repeat of a request gets.
func told(answer claim.Status) ([]byte, error) {
	switch {
	case answer.State == claim.Done && len(answer.Response) > 0:
		return answer.Response, nil
	case answer.State == claim.Done:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key ran; its answer was not kept")
	case answer.State == claim.NotRun:
		return nil, refused(outcome.CodeClaimed, "the earlier request with the idempotency key was not run, nor was this one")
	case answer.State == claim.Running:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key is running")
	default:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key may have run")
	}
}
