package forward

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// errorResponse is an error response that this instance generates itself.
type errorResponse struct {
	status     int
	code       string
	retryAfter time.Duration
	shortage   *pipeline.Shortage // why there was no chain of engines, nil for other reasons

	blocked poison.Cause // why the request was blocked, empty for other reasons
}

// Error returns the status and code of the response.
func (r *errorResponse) Error() string { return fmt.Sprintf("%d %s", r.status, r.code) }

// failureResponse returns the response to a request for which no further server may be tried: status 502 if a server may
// have run it, otherwise 503 with a delay.
func (j *job) failureResponse(code string) *errorResponse {
	if j.mayHaveRun {
		return &errorResponse{status: http.StatusBadGateway, code: code}
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: code, retryAfter: jitter(retryAfter, rand.Float64())}
}

// noRoomResponse returns the response to a request for which there is no chain or server.
func (j *job) noRoomResponse(cause error) *errorResponse {
	response := j.failureResponse("no-room")
	var reason *noChainError
	if errors.As(cause, &reason) {
		response.shortage = &reason.shortage
		response.retryAfter = j.noRoomRetryAfter(reason.wait)
	}
	return response
}

// Parts of the time until its deadline that a request is told to wait for room at most. The part is drawn between them.
const minRetryFraction, maxRetryFraction = 0.24, 0.3

// noRoomRetryAfter returns the delay before a retry for lack of memory, by the wait of all those refused lately.
func (j *job) noRoomRetryAfter(wait time.Duration) time.Duration {
	fraction := minRetryFraction + (maxRetryFraction-minRetryFraction)*rand.Float64()
	longest := scale(time.Until(j.deadline), fraction)
	return max(min(jitter(wait/2, rand.Float64()), longest), jitter(retryAfter, rand.Float64()))
}

// jitter returns a duration between base and twice base for a fraction between 0 and 1, so that callers refused at the same
// time do not retry at the same time.
func jitter(base time.Duration, fraction float64) time.Duration {
	return base + time.Duration(fraction*float64(base))
}

// timeoutResponse returns the response to a request whose deadline has passed: status 504 if a server may have run it,
// otherwise 503 with a delay.
func (j *job) timeoutResponse() *errorResponse {
	if j.mayHaveRun {
		return &errorResponse{status: http.StatusGatewayTimeout, code: "timeout"}
	}
	return &errorResponse{status: http.StatusServiceUnavailable, code: "timeout", retryAfter: jitter(retryAfter, rand.Float64())}
}

// finish logs and counts the outcome of a request and writes the error response if err is one. It panics with
// http.ErrAbortHandler if the caller disconnected, its body could not be read, or the response is incomplete.
func (f *Forwarder) finish(w http.ResponseWriter, r *http.Request, j *job, err error) {
	entry := f.config.Log.WithFields(f.requestEnd(j).Fields()).WithFields(j.excluded.Fields())
	var errResponse *errorResponse
	switch {
	case err == nil:
		metrics.GetOrRegisterCounter("requests.done", f.config.Metrics).Inc(1)
		f.recordTime("requests.first", j.timeToFirstData)
		f.recordTime("requests.whole", time.Since(j.startedAt))
		entry.Info(event.RequestDone)
	case r.Context().Err() != nil && !j.bodyLate:
		metrics.GetOrRegisterCounter("requests.left", f.config.Metrics).Inc(1)
		entry.WithError(err).Info(event.CallerDisconnected)
		panic(http.ErrAbortHandler)
	case errors.As(err, &errResponse):
		metrics.GetOrRegisterCounter("requests.refused."+errResponse.code, f.config.Metrics).Inc(1)
		response := event.ErrorResponse{Status: errResponse.status, Code: errResponse.code, MayHaveRun: j.mayHaveRun}
		if errResponse.shortage != nil {
			entry = entry.WithFields(shortageFields(*errResponse.shortage, errResponse.retryAfter))
		}
		entry = entry.WithFields(blockedFields(errResponse.blocked))
		entry.WithFields(response.Fields()).Info(event.ErrorResponsePrefix + errResponse.code)
		writeErrorResponse(w, errResponse)
	default:
		metrics.GetOrRegisterCounter("requests.broken", f.config.Metrics).Inc(1)
		entry.WithError(err).Info(event.ResponseAborted)
		panic(http.ErrAbortHandler)
	}
}

// blockedFields returns the fields of the log line for a request that was blocked.
func blockedFields(cause poison.Cause) logrus.Fields {
	fields := make(logrus.Fields)
	if cause.Part != "" {
		fields["part"] = cause.Part
	}
	if cause.Digest != "" {
		fields["digest"] = cause.Digest
	}
	return fields
}

// shortageFields returns the fields of the log line for a request that was refused for lack of memory: what decided it.
func shortageFields(s pipeline.Shortage, retryAfter time.Duration) logrus.Fields {
	return event.Shortage{
		From: s.Layers.From, To: s.Layers.To, Engines: s.Engines, Dead: s.Dead, Suspected: s.Suspected, LowestFill: s.LowestFill,
		FillLimit: s.FillLimit, OwnKV: s.OwnKV, PeerKV: s.PeerKV, PeersKnown: s.PeersKnown, RetryAfter: retryAfter,
	}.Fields()
}

// requestEnd returns the fields of the log line for the end of a request.
func (f *Forwarder) requestEnd(j *job) event.RequestEnd {
	age, _ := f.config.Catalog.Age()
	end := event.RequestEnd{
		Request: j.request.ID, Workspace: j.workspace, Server: j.lastServer, Elapsed: time.Since(j.startedAt), Attempts: j.attempts, ConfigAge: age,
		FirstEvent: j.timeToFirstData, MaxGap: j.maxGap, Events: j.events, Chain: j.chainText, RetryDenied: j.retryDenied,
	}
	if index := f.config.Catalog.Snapshot().Index; index != nil {
		end.ConfigVersion = index.Config.Version
	}
	if j.route != nil {
		end.Route, end.Kind = j.route.Name, j.route.Kind.String()
	}
	return end
}

// Parameters of the time histograms.
const (
	// sampleSize is the number of values in the sample of a histogram.
	sampleSize = 512
	// sampleAlpha is the exponential decay factor of the sample; a larger factor favors newer values.
	sampleAlpha = 0.015
)

// recordTime adds a duration in milliseconds to the named histogram; durations of zero or less are ignored.
func (f *Forwarder) recordTime(name string, d time.Duration) {
	if d <= 0 {
		return
	}
	histogram := f.config.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if h, ok := histogram.(metrics.Histogram); ok {
		h.Update(d.Milliseconds())
	}
}

// writeErrorResponse sends the response to the caller, with its code as the body, and drops all headers set before.
func writeErrorResponse(w http.ResponseWriter, response *errorResponse) {
	header := w.Header()
	for name := range header {
		delete(header, name)
	}
	if response.retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatFloat(response.retryAfter.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(response.code)+1))
	w.WriteHeader(response.status)
	_, _ = io.WriteString(w, response.code+"\n")
}
