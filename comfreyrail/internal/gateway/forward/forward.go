package forward

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Config configures a Forwarder.
type Config struct {
	// Catalog tells the configuration and the backend servers.
	Catalog *catalog.Catalog
	// Upstream sends requests.
	Upstream *upstream.Pool
	// Zone is the availability zone of this instance.
	Zone string
	// MaxConfigAge is how long the configuration holds without the store's word for requests with keys.
	MaxConfigAge time.Duration
	// StaleAfter is how long the configuration holds without the store's word for refusing unknown routes and keys.
	StaleAfter time.Duration
	// Retries bounds what is sent to a second server.
	Retries *Budgets
	// PeerUsage returns the work of the other instances at engines.
	PeerUsage func(now time.Time) func(id string) (use pipeline.Usage, known bool)
	// ReadRequest reads what a caller says.
	ReadRequest func(header http.Header) call.Request
	// WriteBackendRequest writes what a backend server is told.
	WriteBackendRequest func(header http.Header, forward call.BackendRequest)
	// ReadResponse reads what a backend server says.
	ReadResponse func(status int, header http.Header) call.Response
	// FetchState asks an engine for its state.
	FetchState func(ctx context.Context, server backend.Server) (state backend.State, err error)
	// Reroute orders the first engine of a request to go on along other engines.
	Reroute func(ctx context.Context, first backend.Server, request string, path []call.Stage) error
	// Log receives the log.
	Log *logrus.Entry
	// Metrics receives counters and times.
	Metrics metrics.Registry
}

// Forwarder passes requests on.
type Forwarder struct {
	config    Config
	began     time.Time
	fleet     *fleet
	examiner  *examiner
	stop      atomic.Pointer[stop] // nil while the instance does not stop
	tokenTime atomic.Int64         // nanoseconds between tokens
}

// New returns a Forwarder.
func New(config Config) *Forwarder {
	f := &Forwarder{config: config, fleet: newFleet(config), examiner: newExaminer(config), began: time.Now()}
	f.tokenTime.Store(int64(firstTokenTime))
	return f
}

// Times told to callers.
const (
	// retryAfter is when a caller may come back if no backend server could take the request.
	retryAfter = 300 * time.Millisecond
	// elsewhereAfter is when a caller may come back if another instance can serve the request now.
	elsewhereAfter = 50 * time.Millisecond
	// mostUnconfigured bounds when a caller may come back while no configuration is known.
	mostUnconfigured = 3 * time.Second
	// defaultDeadline holds for callers that name none, on routes without one.
	defaultDeadline = 30 * time.Second
	// defaultBody is the greatest body in bytes if the configuration names none.
	defaultBody = 4 << 20
)

// job is one request on its way.
type job struct {
	request  call.Request
	route    *route.Route
	service  string
	space    string
	priority int
	limit    time.Time // end of the route's timeout or of the caller's wait, whichever is first
	method   string
	target   string
	host     string
	header   http.Header
	body     []byte
	began    time.Time
	sent     int
	avoid    []string
	ran      bool // a backend server may have run it
	last     string
	first    time.Duration // time to the first event
	gap      time.Duration // longest pause between events
	lastAt   time.Time     // time of the last event
	events   int
	tokens   int
	path     string // engines of the last run with their layers
}

// ServeHTTP passes one request on.
func (f *Forwarder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	j := &job{began: time.Now(), method: r.Method, target: r.RequestURI, host: r.Host, request: f.config.ReadRequest(r.Header)}
	err := f.accept(j, r)
	if err == nil {
		ctx, cancel := context.WithDeadline(r.Context(), j.limit)
		defer cancel()
		if j.route.Kind == route.Stream {
			err = f.stream(ctx, w, j)
		} else {
			err = f.plain(ctx, w, j)
		}
	}
	f.finish(w, r, j, err)
}

// untilConfigured returns when a caller may come back while no configuration is known: after as long as that has lasted.
func (f *Forwarder) untilConfigured() time.Duration {
	return min(max(time.Since(f.began), elsewhereAfter), mostUnconfigured)
}

// accept reads a request and finds its route and workspace.
func (f *Forwarder) accept(j *job, r *http.Request) (err error) {
	snapshot := f.config.Catalog.Snapshot()
	if snapshot.Table == nil {
		return &refusal{status: http.StatusServiceUnavailable, code: "no-configuration", after: f.untilConfigured()}
	}
	age, _ := f.config.Catalog.Age()
	unsure := age > f.config.StaleAfter
	found, ok := snapshot.Table.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return unless(unsure, &refusal{status: http.StatusNotFound, code: "no-route"})
	}
	j.route, j.priority = found, found.Priority
	if err = f.admit(j, snapshot.Table, age, unsure); err != nil {
		return err
	}
	if !f.endsInTime(j) {
		return stopping()
	}
	j.setDeadline()
	return f.readBody(j, r, snapshot.Table.Config.Limits)
}

// unless returns the refusal, or one without a verdict if the configuration may be an old one.
func unless(unsure bool, refused *refusal) error {
	if unsure {
		return &refusal{status: http.StatusServiceUnavailable, code: "configuration-unconfirmed", after: elsewhereAfter}
	}
	return refused
}

// admit finds the workspace of the caller's key.
func (f *Forwarder) admit(j *job, table *route.Table, age time.Duration, unsure bool) error {
	if j.route.Public || !table.RequiresKeys() {
		return nil
	}
	if age > f.config.MaxConfigAge {
		return &refusal{status: http.StatusServiceUnavailable, code: "configuration-unconfirmed", after: elsewhereAfter}
	}
	workspace, ok := table.Workspace(j.request.Key)
	if !ok {
		return unless(unsure, &refusal{status: http.StatusUnauthorized, code: "unknown-key"})
	}
	j.space = workspace.Name
	if workspace.Priority != nil {
		j.priority = *workspace.Priority
	}
	return nil
}

// setDeadline works out until when the request is worth running.
func (j *job) setDeadline() {
	wait := j.route.Timeout
	if j.request.Timeout > 0 && (wait <= 0 || j.request.Timeout < wait) {
		wait = j.request.Timeout
	}
	if wait <= 0 {
		wait = defaultDeadline
	}
	j.limit = j.began.Add(wait)
}

// readBody reads the whole body.
func (f *Forwarder) readBody(j *job, r *http.Request, limits route.Limits) (err error) {
	most := limits.MaxBodyBytes
	if most <= 0 {
		most = defaultBody
	}
	if r.ContentLength > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	if j.body, err = io.ReadAll(io.LimitReader(r.Body, most+1)); err != nil {
		return errors.Annotate(err, "read body")
	}
	if int64(len(j.body)) > most {
		return &refusal{status: http.StatusRequestEntityTooLarge, code: "body-too-large"}
	}
	j.header = endToEnd(r.Header)
	return nil
}

// pickService returns the servers of the service that the request goes to; all its attempts go to the same one.
func (f *Forwarder) pickService(j *job) (service *route.Service, servers []backend.Server, snapshot *catalog.Snapshot) {
	snapshot = f.config.Catalog.Snapshot()
	if j.service == "" {
		j.service = j.route.Pick(rand.Float64())
	}
	service, ok := snapshot.Table.Service(j.service)
	if !ok {
		service = &route.Service{Name: j.service}
	}
	return service, snapshot.Servers[j.service], snapshot
}

// mostKept is the greatest number of idle connections that are kept to a server.
const mostKept = 64

// keep returns the number of idle connections that may be kept to each server of a service: this instance's share of those that
// the server takes, without the one for the next request. A server resets what comes beyond, also a request that may not be
// repeated.
func (f *Forwarder) keep(service *route.Service, instances int) int {
	if service.MaxConnections <= 0 {
		return mostKept
	}
	return min(max(service.MaxConnections/max(instances, 1)-1, 0), mostKept)
}

// outgoing returns the request for one server.
func (f *Forwarder) outgoing(j *job, server backend.Server, hops []call.Stage, lastEvent string) upstream.Request {
	header := j.header.Clone()
	f.config.WriteBackendRequest(header, call.BackendRequest{
		Timeout: time.Until(j.limit), Workspace: j.space, ServerID: server.ID, Priority: j.priority, Stages: hops, LastEventID: lastEvent,
	})
	snapshot := f.config.Catalog.Snapshot()
	service, ok := snapshot.Table.Service(j.service)
	if !ok {
		service = &route.Service{}
	}
	return upstream.Request{
		MaxIdle: f.keep(service, len(snapshot.Instances)),
		Address: server.Address, Method: j.method, Target: j.target, Host: j.host, Header: header, Body: j.body,
		NewConnection: !j.route.Repeatable(),
	}
}
