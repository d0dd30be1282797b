package forward

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/headroom"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// streamAttempt is one attempt at a stream, along a chain that a reroute may change.
type streamAttempt struct {
	service    *route.Service
	chain      pipeline.Chain
	demand     pipeline.Request
	class      headroom.Class
	response   *upstream.Response
	progressAt time.Time // when the attempt started, or when its headers or its last event arrived
	checkAt    time.Time // when to check for a stall if no event arrives until then
	reroutes   int
	beganAt    time.Time // when the first event arrived, zero if none has
	answered   bool      // whether the answer is whole, or has gone on for longer than maxCrashDelay

	probedAt      time.Time     // time of the last liveness probes of its engines
	probeBackoff  time.Duration // minimum time between those probes; doubles with each of them, reset when headers or data arrive
	faultyAddress string        // address of the engine that caused the attempt to be aborted, empty if unknown

	suspected   bool                    // whether the server at fault for its silence has been marked as suspected
	replaceFrom time.Time               // end of the backoff after a successor has failed, zero if none has
	cancel      context.CancelCauseFunc // releases the context of a successor, nil for other attempts
	release     context.CancelCauseFunc // releases the context of the request, which can be withdrawn; nil if none was sent
	prefetched  []byte                  // bytes of a successor's body that have been read but not relayed
}

// startAttempt chooses a chain or a plain server, sends the request and waits for the headers of the response. It returns
// errNoChain if there is no chain or server, a *blockedError if the request must not be sent, and errNoBudget if the
// retry budget does not allow a successor.
func (f *Forwarder) startAttempt(ctx context.Context, j *job, lastID string) (a *streamAttempt, err error) {
	chosen, err := f.chooseAttempt(j)
	if err != nil {
		return nil, err
	}
	err = errPanicked
	defer func() {
		if err != nil {
			f.endAttempt(chosen, err)
		}
	}()
	if err = f.countAndSend(ctx, j, chosen, lastID); err != nil {
		return nil, err
	}
	return chosen, nil
}

// countAndSend counts an attempt, sends its request and waits for the headers of the response.
func (f *Forwarder) countAndSend(ctx context.Context, j *job, a *streamAttempt, lastID string) (err error) {
	if err = f.countAttempt(j, a.service.Name); err != nil {
		return err
	}
	return f.sendRequest(ctx, j, a, lastID)
}

// errPanicked is the error of an attempt that a panic ends.
const errPanicked = errors.ConstError("the attempt panicked")

// chooseAttempt returns an attempt with a chain or a plain server, which it counts in the load. It returns the errors of
// startAttempt except errNoBudget.
func (f *Forwarder) chooseAttempt(j *job) (a *streamAttempt, err error) {
	service, servers, snapshot := f.pickService(j)
	if err = f.checkBlocked(j, service); err != nil {
		return nil, err
	}
	a = &streamAttempt{service: service, demand: j.demand(service), class: headroom.Class{Workspace: j.workspace, Urgency: j.urgency}}
	if service.Engine == nil {
		server, ok := f.selector.choosePlain(servers, f.excludeServers(j, servers))
		if !ok {
			return nil, f.noServerError(servers)
		}
		a.chain = pipeline.Chain{{Server: server}}
		f.selector.startedPlain(server.ID)
		return a, nil
	}
	a.demand.Avoid = f.excludeServers(j, servers)
	if a.chain, err = f.selector.chooseChain(service, snapshot, a.demand, a.class); err != nil {
		return nil, err
	}
	return a, nil
}

// countAttempt counts an attempt, a first one as a request of the service. It returns errNoBudget if the attempt is a successor that
// the retry budget does not allow; takeRetry counts other attempts against the budget.
func (f *Forwarder) countAttempt(j *job, service string) error {
	switch {
	case j.attempts == 0:
		f.config.Retries.CountRequest(service)
	case j.isSuccessor && !f.config.Retries.Allow(service):
		return errNoBudget
	}
	j.attempts++
	return nil
}

// demand returns the expected load of the request on engines.
func (j *job) demand(service *route.Service) pipeline.Request {
	demand := pipeline.Request{PromptTokens: j.request.PromptTokens, OutputTokens: j.request.LengthHint, Avoid: j.avoid}
	if demand.OutputTokens == 0 {
		demand.OutputTokens = j.request.MaxTokens
		if service.Engine != nil {
			demand.OutputTokens = min(service.Engine.MeanOutputTokens, max(j.request.MaxTokens, 1))
		}
	}
	return demand
}

// sendRequest sends the request to the first server of the attempt's chain and reads the headers of the response. It
// records a failed attempt if the request fails, was not run or got the response to another request. It returns errReplaced if a
// successor has begun to respond.
func (f *Forwarder) sendRequest(ctx context.Context, j *job, a *streamAttempt, lastID string) (err error) {
	first := a.chain[0].Server
	j.lastServer, j.chainText = first.ID, describeChain(a.chain)
	var stages []call.Stage
	if a.service.Engine != nil {
		stages = callStages(a.chain)
	}
	request := f.upstreamRequest(j, first, stages, lastID)
	a.progressAt = f.config.Clock.Now()
	request.ReadTimeout = firstCheck(j, a)
	request.OnReadTimeout = func() time.Duration { return f.checkStall(ctx, j, a, headerTimeout(j)) }
	a.response, a.release, err = f.sendWithdrawable(ctx, j, a.service, request)
	var blocked *blockedError
	switch {
	case errors.As(err, &blocked):
		return blocked
	case err == nil:
		f.cancelSuccession(j)
		return f.checkResponse(ctx, j, a)
	case j.successor != nil:
		return errReplaced
	default:
		f.recordSendFailure(ctx, j, a, err)
		return err
	}
}

// recordSendError records that an attempt has failed without a response, and reports whether its request may have been sent, and thus run.
// A retry that was not sent doesn't count against the retry budget.
func (f *Forwarder) recordSendError(j *job, err error) (maybeSent bool) {
	var failure *upstream.Error
	if !errors.As(err, &failure) || failure.MayHaveBeenSent {
		j.mayHaveRun = true
		return true
	}
	j.unsent++
	if j.attempts > 1 {
		f.config.Retries.Refund(j.service)
	}
	return false
}

// headerTimeout returns the time without the headers of a response after which another attempt is tried.
func headerTimeout(j *job) time.Duration {
	return max(scale(j.route.LatencyTarget, headerTimeoutFactor), minStallTimeout)
}

// recordSendFailure records a failed attempt without a response, after which the request may have been run unless it was not sent.
func (f *Forwarder) recordSendFailure(ctx context.Context, j *job, a *streamAttempt, cause error) {
	maybeSent := f.recordSendError(j, cause)
	if !maybeSent {
		a.faultyAddress = a.chain[0].Server.Address
	}
	f.recordFailedStreamAttempt(ctx, j, a, a.faultyAddress, cause)
	switch {
	case maybeSent:
		f.checkCrash(ctx, j, a, cause)
	case errors.Is(cause, syscall.ECONNREFUSED):
		f.selector.probeFailed(a.chain[0].Server)
	}
}

// checkResponse returns an error and records a failed attempt if the headers of a response show that the request was not run, or
// that the response must not be relayed.
func (f *Forwarder) checkResponse(ctx context.Context, j *job, a *streamAttempt) (err error) {
	first, response := a.chain[0].Server, a.response
	meta := f.config.ReadResponse(response.Status, response.Header)
	f.recordNotice(j, first, meta)
	faultyAddress := first.Address
	err = j.checkValidity(response.Status, meta)
	if err == nil && meta.NotRun {
		faultyAddress = meta.FaultyAddress
		err = errors.Errorf("status %d: the request was not run", response.Status)
	} else {
		j.mayHaveRun = true
	}
	if err == nil {
		return nil
	}
	response.Discard()
	f.recordFailedStreamAttempt(ctx, j, a, faultyAddress, err)
	return err
}

// describeChain returns the server IDs of a chain with their layers, for logs.
func describeChain(chain pipeline.Chain) string {
	var text strings.Builder
	for i, stage := range chain {
		if i > 0 {
			text.WriteByte(' ')
		}
		fmt.Fprintf(&text, "%s=%d-%d", stage.Server.ID, stage.Layers.From, stage.Layers.To)
	}
	return text.String()
}

// scale returns the duration multiplied by the factor.
func scale(d time.Duration, factor float64) time.Duration { return time.Duration(float64(d) * factor) }

// endAttempt releases the connection of an attempt and its load on the engines or the plain server. The connection is reused only if
// err is nil.
func (f *Forwarder) endAttempt(a *streamAttempt, err error) {
	if a.response != nil {
		if err != nil {
			a.response.Discard()
		} else {
			a.response.Close()
		}
	}
	if a.cancel != nil {
		a.cancel(err)
	}
	if a.release != nil {
		a.release(err)
	}
	if a.service.Engine != nil {
		f.selector.endChain(a)
	} else {
		f.selector.endedPlain(a.chain[0].Server.ID)
	}
}
