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

	"github.com/comfreyrail/comfreyrail/rail/event"
)

// refusal is an answer of the instance itself.
type refusal struct {
	status int
	code   string
	after  time.Duration
}

// Error says what the caller is told.
func (r *refusal) Error() string { return fmt.Sprintf("%d %s", r.status, r.code) }

// exhausted is the answer once no further server may be tried.
func (j *job) exhausted(code string) *refusal {
	if j.ran {
		return &refusal{status: http.StatusBadGateway, code: code}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: code, after: spread(retryAfter, rand.Float64())}
}

// spread returns a time between the given one and twice that, so that callers who were refused together do not come back
// together.
func spread(after time.Duration, draw float64) time.Duration {
	return after + time.Duration(draw*float64(after))
}

// expired is the answer once the time is up.
func (j *job) expired() *refusal {
	if j.ran {
		return &refusal{status: http.StatusGatewayTimeout, code: "timeout"}
	}
	return &refusal{status: http.StatusServiceUnavailable, code: "timeout", after: spread(retryAfter, rand.Float64())}
}

// finish answers a request that failed, and logs how each ended.
func (f *Forwarder) finish(w http.ResponseWriter, r *http.Request, j *job, err error) {
	line := f.config.Log.WithFields(f.describe(j).Fields())
	var refused *refusal
	switch {
	case err == nil:
		f.learn(j)
		metrics.GetOrRegisterCounter("requests.done", f.config.Metrics).Inc(1)
		f.time("requests.first", j.first)
		f.time("requests.whole", time.Since(j.began))
		line.Info(event.RequestDone)
	case r.Context().Err() != nil:
		metrics.GetOrRegisterCounter("requests.left", f.config.Metrics).Inc(1)
		line.WithError(err).Info(event.CallerDisconnected)
		panic(http.ErrAbortHandler)
	case errors.As(err, &refused):
		metrics.GetOrRegisterCounter("requests.refused."+refused.code, f.config.Metrics).Inc(1)
		told := event.ErrorResponse{Status: refused.status, Code: refused.code, MayHaveRun: j.ran}
		line.WithFields(told.Fields()).Info(event.RefusedPrefix + refused.code)
		refuse(w, refused)
	default:
		metrics.GetOrRegisterCounter("requests.broken", f.config.Metrics).Inc(1)
		line.WithError(err).Info(event.ResponseAborted)
		panic(http.ErrAbortHandler)
	}
}

// describe returns what the line for the end of a request tells.
func (f *Forwarder) describe(j *job) event.RequestEnd {
	age, _ := f.config.Catalog.Age()
	ended := event.RequestEnd{
		Request: j.request.ID, Workspace: j.space, Server: j.last, Elapsed: time.Since(j.began), Attempts: j.sent, ConfigAge: age,
		FirstEvent: j.first, MaxGap: j.gap, Events: j.events, Path: j.path,
	}
	if table := f.config.Catalog.Snapshot().Table; table != nil {
		ended.ConfigVersion = table.Config.Version
	}
	if j.route != nil {
		ended.Route, ended.Kind = j.route.Name, j.route.Kind.String()
	}
	return ended
}

// Sizes of the histograms of times.
const (
	// sampleSize is the number of values that a histogram keeps.
	sampleSize = 512
	// sampleAlpha is the weight of newer values.
	sampleAlpha = 0.015
)

// time counts a time in milliseconds in a histogram.
func (f *Forwarder) time(name string, d time.Duration) {
	if d <= 0 {
		return
	}
	histogram := f.config.Metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(sampleSize, sampleAlpha))
	})
	if kept, ok := histogram.(metrics.Histogram); ok {
		kept.Update(d.Milliseconds())
	}
}

// refuse sends an answer of the instance itself.
func refuse(w http.ResponseWriter, refused *refusal) {
	header := w.Header()
	for name := range header {
		delete(header, name)
	}
	if refused.after > 0 {
		header.Set("Retry-After", strconv.FormatFloat(refused.after.Seconds(), 'f', 2, 64))
	}
	header.Set("Content-Type", "text/plain; charset=utf-8")
	header.Set("Content-Length", strconv.Itoa(len(refused.code)+1))
	w.WriteHeader(refused.status)
	_, _ = io.WriteString(w, refused.code+"\n")
}
