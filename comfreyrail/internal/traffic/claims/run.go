package claims

import (
	"context"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// Request is a request that has an idempotency key.
type Request struct {
	// Key is the hash of the idempotency key with its workspace and route.
	Key claim.Key
	// Digest is the hash of the request; a repeat with another digest is refused.
	Digest claim.Digest
	// Run runs the request; its error wraps an *outcome.Failure.
	Run func(ctx context.Context) (response []byte, err error)
}

// StatusQuery is a query to the owner of a claim for the status of the claim.
type StatusQuery struct {
	// Owner is the incarnation that owns the claim.
	Owner string `cbor:"1,keyasint"`
	// Sequence is the number of the claim among those of the owner.
	Sequence uint64 `cbor:"2,keyasint"`
}

// Run runs the request if this instance is granted the claim of its key, and returns the response; the error wraps an
// *outcome.Failure. For a repeat it waits until the earlier request or the context has ended, and returns the response
// of the earlier request if it was kept.
func (c *Claims) Run(ctx context.Context, request Request) (response []byte, err error) {
	decision, err := c.requestClaim(ctx, request)
	if err != nil {
		return nil, err
	}
	return c.handleDecision(ctx, decision, request)
}

// handleDecision runs the request, or returns the result of the earlier request, depending on the verdict.
func (c *Claims) handleDecision(ctx context.Context, decision claim.Decision, request Request) (response []byte, err error) {
	switch decision.Verdict {
	case claim.Granted:
		return c.runGranted(ctx, decision.Sequence, request)
	case claim.HeldLocally:
		return repeatResult(c.awaitStatus(ctx, decision.HolderSequence))
	case claim.HeldInRecord:
		return repeatResult(c.queryStatus(ctx, decision.Entry))
	case claim.Mismatch:
		return nil, outcome.NotRunf(outcome.CodeMismatch, "the idempotency key was used for another request; use a new key")
	case claim.Expired:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "the idempotency key was minted too long ago; its request may have run")
	case claim.Full:
		return nil, newRefusal(outcome.CodeOverload, "too many idempotency keys are in use; this call was not run")
	default:
		return nil, newRefusal(outcome.CodeStore, "the idempotency key cannot be claimed while the platform's service is out; this call was not run")
	}
}

// retryAfter is the time after which a caller may repeat a refused request.
const retryAfter = time.Second

// newRefusal returns a failure with the outcome not run that allows a repeat after retryAfter.
func newRefusal(code outcome.Code, message string) error {
	failure := outcome.NotRunf(code, "%s", message)
	failure.RetryAfter = retryAfter
	return failure
}

// requestClaim requests the claim and waits for the decision, which the registry makes no later than at its first Tick
// after the deadline.
func (c *Claims) requestClaim(ctx context.Context, request Request) (claim.Decision, error) {
	wait := claimTimeout
	if c.outage.Load() {
		wait = outageTimeout
	}
	deadline := time.Now().Add(wait)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	reply := make(chan claim.Decision, 1)
	claimRequest := claim.Request{Key: request.Key, Digest: request.Digest, Deadline: deadline}
	if c.send(claimRequested{request: claimRequest, reply: reply}) {
		select {
		case decision := <-reply:
			return decision, nil
		case <-c.stopped:
		}
	}
	return claim.Decision{}, newRefusal(outcome.CodeStopping, "the instance is stopping; this call was not run")
}

// runGranted runs a request whose claim was granted to this instance, unless it is too late to start it.
func (c *Claims) runGranted(ctx context.Context, sequence uint64, request Request) (response []byte, err error) {
	reply := make(chan bool, 1)
	started := false
	if c.send(startRequested{sequence: sequence, reply: reply}) {
		select {
		case started = <-reply:
		case <-c.stopped:
		}
	}
	if !started {
		return nil, newRefusal(outcome.CodeDeadline, "the claim of the idempotency key came too late; this call was not run")
	}
	// The state stays Unknown if Run panics or fails with an outcome other than NotRun, so that no repeat runs.
	result := runFinished{sequence: sequence, state: claim.Unknown}
	defer func() { c.send(result) }()
	response, err = request.Run(ctx)
	switch {
	case err == nil && len(response) <= maxCachedResponseBytes:
		result.state, result.response = claim.Done, response
	case err == nil:
		result.state = claim.Done
	case outcome.FromError(err).Outcome == outcome.NotRun:
		result.state = claim.NotRun
	}
	return response, err
}

// awaitStatus waits until the request of a claim of this instance or the context has ended, and returns the status of
// the claim.
func (c *Claims) awaitStatus(ctx context.Context, sequence uint64) claim.Status {
	reply := make(chan claim.Status, 1)
	if !c.send(statusAwaited{sequence: sequence, reply: reply}) {
		return claim.Status{State: claim.Unknown}
	}
	select {
	case status := <-reply:
		return status
	case <-c.stopped:
		return claim.Status{State: claim.Unknown}
	case <-ctx.Done():
		return claim.Status{State: claim.Running}
	}
}

// Timeouts of a StatusQuery.
const (
	// maxStatusWait is the maximum time for which an owner delays its response to a StatusQuery while the request runs.
	maxStatusWait = time.Second
	// queryTimeout is the time after which an owner that has not responded counts as unreachable.
	queryTimeout = 3 * time.Second
)

// queryStatus returns the status of a claim that this instance doesn't hold: from the record if that has the response, and
// otherwise from the owner. If the owner can't be queried, it returns the recorded state, with Unknown for a request that
// was still running.
//
// The query is repeated while the request runs and the owner is a member of the fleet.
func (c *Claims) queryStatus(ctx context.Context, entry claim.Entry) claim.Status {
	recorded := claim.Status{State: entry.State, Response: entry.Response}
	if entry.State == claim.Running {
		recorded.State = claim.Unknown
	}
	if len(recorded.Response) > 0 || c.config.QueryOwner == nil {
		return recorded
	}
	query := StatusQuery{Owner: entry.Owner, Sequence: entry.Sequence}
	for ctx.Err() == nil {
		owner, ok := c.member(entry.Owner)
		if !ok {
			return recorded
		}
		status, err := c.queryOwner(ctx, owner, query)
		if err != nil && ctx.Err() == nil {
			c.config.Log.WithError(err).Warn("cannot query the owner of a claim")
			return recorded
		}
		if err == nil && status.State != claim.Running {
			return status
		}
	}
	return claim.Status{State: claim.Running}
}

// queryOwner sends the query to the owner and waits for the response or the end of the context.
//
// The query goes on if the caller disconnects, because canceling it would close the connection to the owner.
func (c *Claims) queryOwner(ctx context.Context, owner member.Member, query StatusQuery) (status claim.Status, err error) {
	type result struct {
		status claim.Status
		err    error
	}
	done := make(chan result, 1)
	go func() {
		callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), queryTimeout)
		defer cancel()
		status, err := c.config.QueryOwner(callCtx, owner, query)
		done <- result{status, err}
	}()
	select {
	case got := <-done:
		return got.status, got.err
	case <-ctx.Done():
		return claim.Status{}, ctx.Err()
	}
}

// member returns the member with the incarnation; ok is false if there is none.
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

// KindStatusQuery is the kind of the call that carries a StatusQuery; the response is a claim.Status.
const KindStatusQuery peer.Kind = "claim"

// ServePeer decodes and serves a StatusQuery from another instance; the result is a claim.Status.
func (c *Claims) ServePeer(ctx context.Context, from member.Member, body []byte) (status any, err error) {
	var query StatusQuery
	if err = peer.Decode(body, &query); err != nil {
		return nil, err
	}
	return c.ServeStatusQuery(ctx, from, query), nil
}

// ServeStatusQuery returns the status of a claim of this instance to another instance; a claim of another incarnation
// is Unknown. It waits up to maxStatusWait for the end of the request.
func (c *Claims) ServeStatusQuery(ctx context.Context, _ member.Member, query StatusQuery) claim.Status {
	if query.Owner != c.config.Owner {
		return claim.Status{State: claim.Unknown}
	}
	ctx, cancel := context.WithTimeout(ctx, maxStatusWait)
	defer cancel()
	return c.awaitStatus(ctx, query.Sequence)
}

// repeatResult returns the result of a repeated request, given the status of the earlier one.
func repeatResult(status claim.Status) ([]byte, error) {
	switch {
	case status.State == claim.Done && len(status.Response) > 0:
		return status.Response, nil
	case status.State == claim.Done:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key ran; its answer was not kept")
	case status.State == claim.NotRun:
		return nil, newRefusal(outcome.CodeClaimed, "the earlier request with the idempotency key was not run, nor was this one")
	case status.State == claim.Running:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key is running")
	default:
		return nil, outcome.Unknownf(outcome.CodeClaimed, "an earlier request with the idempotency key may have run")
	}
}
