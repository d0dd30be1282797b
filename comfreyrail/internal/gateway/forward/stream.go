package forward

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Times of a stream. The factors of the route's LatencyTarget, the target for the time to the first event, apply until the
// headers of the response arrive. Those of its GapTarget, the target for the longest time between events, apply after that,
// except that the times of gapCheckFactor and typicalGapFactor must always pass before the engines are checked.
const (
	// headerCheckFactor times LatencyTarget is the time without the headers of the response after which the engines
	// are checked.
	headerCheckFactor = 0.4
	// headerTimeoutFactor times LatencyTarget is the time without the headers of the response after which another chain
	// is tried.
	headerTimeoutFactor = 3.0
	// gapCheckFactor times GapTarget is the time without an event after which the engines are checked.
	gapCheckFactor = 0.45
	// typicalGapFactor times the chain's typical gap is the time without an event that must also pass before that check,
	// which is thus later on chains whose engines are known to be slow.
	typicalGapFactor = 1.5
	// gapTimeoutFactor times GapTarget is the time without an event after which another chain is tried.
	gapTimeoutFactor = 6.0
	// minStallTimeout is the minimum time without an event before another chain is tried because of a timeout.
	minStallTimeout = 300 * time.Millisecond
	// checkInterval is the time between two checks of the engines.
	checkInterval = 30 * time.Millisecond
	// noChainDelay is the delay before a stream that has begun searches again for a chain with enough free memory.
	noChainDelay = 40 * time.Millisecond
	// rerouteTimeout is the timeout of the instruction to the first engine to use another chain.
	rerouteTimeout = 100 * time.Millisecond
)

// retryDeniedPrefix is the prefix of the names of the counters of attempts that were not made, by the reason.
const retryDeniedPrefix = "requests.again.denied."

// Reasons of attempts that were not made which are logged only.
const (
	// retryDeniedByEnd is the reason if the deadline has passed or the caller has disconnected.
	retryDeniedByEnd = "ended"
	// retryDeniedByWait is the reason if engines want no requests before the deadline.
	retryDeniedByWait = "wait"
)

// errNoChain is the error if no chain with enough free memory covers every layer, or no plain server accepts requests.
const errNoChain = errors.ConstError("no chain or server is available")

// noChainError is an errNoChain with the reason why there is no chain of engines.
type noChainError struct {
	shortage pipeline.Shortage
	wait     time.Duration // how long the request should wait for memory
}

// Error returns the text of errNoChain.
func (e *noChainError) Error() string { return string(errNoChain) }

// Unwrap returns errNoChain.
func (e *noChainError) Unwrap() error { return errNoChain }

// serveStream forwards a request whose response is a stream of events. If an attempt fails, it continues the stream with
// another attempt, as far as the route and the retry budget allow.
func (f *Forwarder) serveStream(ctx context.Context, w http.ResponseWriter, j *job) error {
	j.out = newEventWriter(w, j.request.LastEventID, f.config.ResponseMemory)
	defer j.out.close()
	j.out.begin = j.begin
	defer f.cancelSuccession(j)
	for {
		a, err := f.nextAttempt(ctx, j)
		if err == nil && a.response.Status != http.StatusOK && !j.out.headerSent {
			return f.relayErrorResponse(ctx, w, j, a)
		}
		if err == nil {
			err = f.relayAndEnd(ctx, j, a)
		}
		if err == nil {
			return nil
		}
		if err = f.prepareRetry(ctx, j, err); err != nil {
			return err
		}
	}
}

// prepareRetry returns nil once the next attempt may follow a failed one, and otherwise the final error of the stream.
func (f *Forwarder) prepareRetry(ctx context.Context, j *job, cause error) error {
	f.endSuccession(j)
	switch {
	case j.successor != nil:
		return nil
	case ctx.Err() != nil:
		j.retryDenied = retryDeniedByEnd
		if !j.out.headerSent {
			return j.timeoutResponse()
		}
		return cause
	case j.out.headerSent && waitsPast(cause, j.end):
		j.retryDenied = retryDeniedByWait
		return cause
	// Memory of engines becomes free again, but a plain server that failed the request is not tried again.
	case errors.Is(cause, errNoChain) && j.out.headerSent && len(j.avoid) == 0:
		_ = pause.For(ctx, noChainDelay)
		return nil
	case f.takeRetry(j, cause):
		return nil
	case j.out.headerSent:
		return cause
	default:
		return f.withWait(j, j.streamFailure(cause))
	}
}

// streamFailure returns the error response to a stream of which nothing has been sent to the caller, by the cause of the failure of
// its last attempt.
func (j *job) streamFailure(cause error) *errorResponse {
	var blocked *blockedError
	switch {
	case errors.As(cause, &blocked):
		return j.blockedResponse(blocked)
	case errors.Is(cause, errNoChain):
		return j.noRoomResponse(cause)
	default:
		return j.failureResponse("stream-failed")
	}
}

// resumable reports whether another attempt may continue a stream whose request may have been run.
func (j *job) resumable() bool { return j.route.Resumable && !j.positionUnknown }

// takeRetry reports whether another attempt at the stream may follow a failed one, and if so counts it against the retry budget.
// Otherwise it records the reason why not, and increments its counter.
func (f *Forwarder) takeRetry(j *job, cause error) bool {
	var blocked *blockedError
	var reason string
	switch {
	case errors.Is(cause, errNoChain):
		reason = "no-chain"
	case errors.As(cause, &blocked):
		reason = "blocked"
	case !j.hasAttemptsLeft():
		reason = "attempts"
	case j.mayHaveRun && !j.resumable():
		reason = "once"
	case !f.config.Retries.Allow(j.service):
		reason = "budget"
	default:
		return true
	}
	j.retryDenied = reason
	metrics.GetOrRegisterCounter(retryDeniedPrefix+reason, f.config.Metrics).Inc(1)
	return false
}

// relayErrorResponse sends the caller the response of a server that ran the request and returned a status other than 200. It
// returns an error if the body cannot be read. No headers must have been sent before.
func (f *Forwarder) relayErrorResponse(ctx context.Context, w http.ResponseWriter, j *job, a *streamAttempt) error {
	response := a.response
	response.SetOnReadTimeout(func() time.Duration { return checkInterval }) // no other attempt is started any more
	a.response = nil                                                         // hold, deliver and discard end its use
	defer f.endAttempt(a, nil)
	held, err := f.hold(response, call.Response{}, func() {})
	if err != nil {
		f.checkCrash(ctx, j, a, err)
		return j.failureResponse("stream-failed")
	}
	if held.complete && held.succeeded() {
		f.config.RequestAnswered(poison.Request{Digest: j.digest})
	}
	return j.deliver(ctx, w, held)
}

// relayAndEnd relays an attempt and ends it, also if relaying panics.
func (f *Forwarder) relayAndEnd(ctx context.Context, j *job, a *streamAttempt) (err error) {
	err = errPanicked
	defer func() { f.endAttempt(a, err) }()
	err = f.relay(ctx, j, a)
	return err
}

// relay writes the events of an attempt to the caller until the stream is complete. It returns an error if the attempt
// fails before that.
func (f *Forwarder) relay(ctx context.Context, j *job, a *streamAttempt) (err error) {
	if err = j.out.beginAttempt(a.response.Status, a.response.Header); err != nil {
		meta := f.config.ReadResponse(a.response.Status, a.response.Header)
		f.recordFailedStreamAttempt(ctx, j, a, cmp.Or(meta.FaultyAddress, a.chain[0].Server.Address), err)
		return err
	}
	f.recordProgress(a, 0)
	f.watchForStalls(ctx, j, a)
	if len(a.prefetched) > 0 {
		if err = f.relayData(ctx, j, a, a.prefetched); err != nil {
			return err
		}
	}
	return f.relayBody(ctx, j, a)
}

// relayBody relays an attempt's response until its end. It returns an error if the attempt fails before the stream is complete.
func (f *Forwarder) relayBody(ctx context.Context, j *job, a *streamAttempt) (err error) {
	var buffer [relayBufferBytes]byte
	for {
		// Bytes that complete no event do not move checkAt, so that a server that sends only such bytes is checked.
		a.response.SetReadDeadline(a.checkAt)
		var n int
		n, err = a.response.Read(buffer[:])
		if n > 0 {
			if relayErr := f.relayData(ctx, j, a, buffer[:n]); relayErr != nil {
				return relayErr
			}
		}
		if errors.Is(err, io.EOF) {
			if err = f.finishStream(ctx, j, a); err == nil {
				f.recordAnswered(j, a)
				return nil
			}
		}
		if err != nil {
			return f.relayFailed(ctx, j, a, err)
		}
	}
}

// relayFailed records a failed attempt, unless its caller disconnected, and returns its error: errReplaced if a successor has begun to
// respond, and otherwise the cause.
func (f *Forwarder) relayFailed(ctx context.Context, j *job, a *streamAttempt, cause error) error {
	if j.successor != nil {
		return errReplaced
	}
	if ctx.Err() == nil {
		f.recordFailedStreamAttempt(ctx, j, a, a.faultyAddress, cause)
		f.checkCrash(ctx, j, a, cause)
	}
	return cause
}

// watchForStalls makes the attempt check for a stall at checkAt, which each check and each progress moves.
func (f *Forwarder) watchForStalls(ctx context.Context, j *job, a *streamAttempt) {
	timeout := max(scale(j.route.GapTarget, gapTimeoutFactor), minStallTimeout)
	a.checkAt = time.Now().Add(firstCheck(j, a))
	a.response.SetOnReadTimeout(func() time.Duration {
		more := f.checkStall(ctx, j, a, timeout)
		a.checkAt = time.Now().Add(more)
		return more
	})
}

// relayData writes data of an attempt to the caller. Only complete events count as progress, so that an attempt whose server sends
// single bytes also counts as stalled. It returns an error if the data cannot continue the stream or writing fails.
func (f *Forwarder) relayData(ctx context.Context, j *job, a *streamAttempt, data []byte) error {
	arrivedAt, events := time.Now(), j.out.count
	err := j.out.write(data)
	if j.out.count > events {
		f.cancelSuccession(j)
		f.recordEvent(j, a, arrivedAt)
		f.recordProgress(a, f.silence(a))
		j.recordData(arrivedAt)
		j.positionUnknown = j.out.positionUnknown
		a.checkAt = arrivedAt.Add(firstCheck(j, a))
	}
	if isInvalidEvent(err) {
		f.recordFailedStreamAttempt(ctx, j, a, a.chain[0].Server.Address, err)
	}
	return err
}

// recordProgress records that an attempt made progress now, after a gap without any, and resets the backoff of its probes.
func (f *Forwarder) recordProgress(a *streamAttempt, gap time.Duration) {
	f.selector.progressed(a, gap)
	a.progressAt, a.probeBackoff = f.config.Clock.Now(), 0
}

// recordData records the arrival of data and the number of events that have been written.
func (j *job) recordData(now time.Time) {
	j.events = j.out.count
	if j.timeToFirstData == 0 {
		j.timeToFirstData = now.Sub(j.startedAt)
	} else {
		j.maxGap = max(j.maxGap, now.Sub(j.lastDataAt))
	}
	j.lastDataAt = now
}
