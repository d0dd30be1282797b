package forward

import (
	"cmp"
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/notices"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Forwarder is an http.Handler that forwards requests to backend servers.
type Forwarder struct {
	config    Config
	startedAt time.Time
	selector  *selector
	liveness  *livenessProber
	stopPlan  atomic.Pointer[stopPlan] // nil if no stop is planned
}

// New returns a Forwarder with the given configuration.
func New(config Config) *Forwarder {
	if config.Notices == nil {
		config.Notices = notices.New(notices.Config{Snapshot: config.Catalog.Snapshot, Metrics: config.Metrics, Log: config.Log})
	}
	return &Forwarder{config: config, selector: newSelector(config), liveness: newLivenessProber(config), startedAt: time.Now()}
}

// Delays of Retry-After, and default limits of requests.
const (
	// retryAfter is the minimum delay before a retry if no backend server could run the request.
	retryAfter = 300 * time.Millisecond
	// retryElsewhereAfter is the delay before a retry if another instance can serve the request now.
	retryElsewhereAfter = 50 * time.Millisecond
	// maxUnconfiguredRetryAfter is the maximum delay before a retry while no configuration is known.
	maxUnconfiguredRetryAfter = 3 * time.Second
	// defaultTimeout is the timeout of a request if neither the caller nor the route sets one.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes is the maximum size of a body in bytes if the configuration sets none.
	defaultMaxBodyBytes = 4 << 20
)

// ServeHTTP forwards one request and writes the response. It panics with http.ErrAbortHandler if the caller disconnects,
// its body cannot be read, or the response fails after its beginning was sent.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{startedAt: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, request: f.config.ReadRequest(r.Header)}
	defer j.releaseBody()
	limitBodyRead(w, r, j.startedAt.Add(shorterTimeout(0, lessDelivery(j.request.Timeout))))
	err := f.accept(j, w, r)
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), j.end)
		defer cancel()
		ctx, endLimit := j.limitBegin(ctx)
		defer endLimit()
		if j.route.Kind == route.Stream {
			err = f.serveStream(ctx, w, j)
		} else {
			err = f.servePlain(ctx, w, j)
		}
	}
	f.finish(w, r, j, err)
}

// unconfiguredRetryAfter returns the delay before a retry while no configuration is known. It equals the time since the
// Forwarder was created, within retryElsewhereAfter and maxUnconfiguredRetryAfter.
func (f *Forwarder) unconfiguredRetryAfter() time.Duration {
	return min(max(time.Since(f.startedAt), retryElsewhereAfter), maxUnconfiguredRetryAfter)
}

// accept reads a request and sets its route, workspace, urgency and deadline. The error is an *errorResponse unless
// reading the body failed.
func (f *Forwarder) accept(j *job, w http.ResponseWriter, r *http.Request) (err error) {
	snapshot := f.config.Catalog.Snapshot()
	if snapshot.Index == nil {
		return &errorResponse{status: http.StatusServiceUnavailable, code: "no-configuration", retryAfter: f.unconfiguredRetryAfter()}
	}
	age, _ := f.config.Catalog.Age()
	stale := age > f.config.MaxApplyDelay
	matched, ok := snapshot.Index.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return refuseUnknown(stale, &errorResponse{status: http.StatusNotFound, code: "no-route"})
	}
	j.route, j.urgency = matched, matched.Urgency
	if err = f.authenticate(j, snapshot.Index, age, stale); err != nil {
		return err
	}
	j.setDeadline()
	if !f.acceptsBeforeAbort(j) {
		return stoppingResponse()
	}
	limitBodyRead(w, r, j.deadline)
	return f.readBody(j, r, snapshot.Index.Config.Limits)
}

// refuseUnknown returns the given response to an unknown route or key. If the configuration is stale, it returns
// "configuration-unconfirmed" instead, because a newer one may contain the route or key.
func refuseUnknown(stale bool, response *errorResponse) error {
	if stale {
		return &errorResponse{status: http.StatusServiceUnavailable, code: "configuration-unconfirmed", retryAfter: retryElsewhereAfter}
	}
	return response
}

// authenticate sets the workspace of the caller's key, and the urgency if the workspace has one. Public routes and
// configurations without keys need no key.
func (f *Forwarder) authenticate(j *job, index *route.Index, age time.Duration, stale bool) error {
	if j.route.Public || !index.RequiresKeys() {
		return nil
	}
	if age > f.config.MaxConfigAge {
		return &errorResponse{status: http.StatusServiceUnavailable, code: "configuration-unconfirmed", retryAfter: retryElsewhereAfter}
	}
	workspace, ok := index.Workspace(j.request.APIKey)
	if !ok {
		return refuseUnknown(stale, &errorResponse{status: http.StatusUnauthorized, code: "unknown-key"})
	}
	j.workspace = workspace.Name
	if workspace.Urgency != nil {
		j.urgency = *workspace.Urgency
	}
	return nil
}

// limitBodyRead makes reads of the body fail after the deadline. Without it, a body whose end doesn't arrive would delay the response,
// also that to a request whose body isn't read.
func limitBodyRead(w http.ResponseWriter, r *http.Request, deadline time.Time) {
	if r.Body == http.NoBody {
		return // net/http already waits for the next request, without a deadline
	}
	// Without support of deadlines there is no connection to wait for.
	_ = http.NewResponseController(w).SetReadDeadline(deadline)
}

// readBody reads the whole body, and keeps the digest and the end-to-end headers. It refuses a body larger than the configured limit, one for
// which no memory is left, and one that doesn't arrive before the deadline.
func (f *Forwarder) readBody(j *job, r *http.Request, limits route.Limits) (err error) {
	maxBytes := limits.MaxBodyBytes
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if r.ContentLength > maxBytes {
		return &errorResponse{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	j.body = limit.NewBuffer(f.config.RequestMemory, int(maxBytes)+1)
	ended, err := j.body.Fill(r.Body)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		j.bodyLate = true
		return j.timeoutResponse()
	case err != nil:
		return errors.Annotate(err, "read body")
	case int64(len(j.body.Bytes())) > maxBytes:
		return &errorResponse{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	case !ended:
		return &errorResponse{status: http.StatusServiceUnavailable, code: "no-memory", retryAfter: jitter(retryAfter, rand.Float64())}
	}
	j.header = endToEnd(r.Header)
	j.digest = poison.Digest(j.method, j.route.Host, j.target, cmp.Or(j.workspace, j.request.APIKey), j.body.Bytes())
	return nil
}

// pickService returns the service of the request, its servers and the current snapshot. The service is drawn by the route's
// weights at the first attempt; later attempts use the same service.
func (f *Forwarder) pickService(j *job) (service *route.Service, servers []backend.Server, snapshot *catalog.Snapshot) {
	snapshot = f.config.Catalog.Snapshot()
	if j.service == "" {
		j.service = j.route.Pick(rand.Float64())
	}
	service, ok := snapshot.Index.Service(j.service)
	if !ok {
		service = &route.Service{Name: j.service}
	}
	return service, snapshot.Servers[j.service], snapshot
}

// maxIdlePerServer is the maximum number of idle connections to a server.
const maxIdlePerServer = 64

// maxIdleConns returns the maximum number of idle connections to each server of a service. It is this instance's share of
// the connections that the server accepts, less one for the next request. A server resets connections above its limit,
// including those that carry a request which must not be retried.
func (f *Forwarder) maxIdleConns(service *route.Service, instances int) int {
	if service.MaxConnections <= 0 {
		return maxIdlePerServer
	}
	return min(max(service.MaxConnections/max(instances, 1)-1, 0), maxIdlePerServer)
}

// upstreamRequest returns the request to send to one server. Its headers contain the remaining time until the deadline.
func (f *Forwarder) upstreamRequest(j *job, server backend.Server, stages []call.Stage, lastEventID string) upstream.Request {
	header := j.header.Clone()
	until := j.deadline
	if j.route.Kind == route.Stream {
		until = j.end // a stream that has begun goes on
	}
	f.config.WriteBackendRequest(header, call.BackendRequest{
		Timeout: time.Until(until), Workspace: j.workspace, ServerID: server.ID, Urgency: j.urgency, Stages: stages, LastEventID: lastEventID,
	})
	snapshot := f.config.Catalog.Snapshot()
	service, ok := snapshot.Index.Service(j.service)
	if !ok {
		service = &route.Service{}
	}
	return upstream.Request{
		MaxIdle: f.maxIdleConns(service, len(snapshot.Instances)),
		Address: server.Address, Method: j.method, Target: j.target, Host: j.host, Header: header, Body: j.body.Bytes(),
		NewConnection: j.needsNewConnection(),
	}
}
