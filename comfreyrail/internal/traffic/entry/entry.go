package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"runtime/debug"
	"strconv"

	"github.com/emicklei/go-restful/v3"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/admission"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/completion"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/relay"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/retries"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// WorkspaceHeader is the header that holds the name of the caller's workspace.
const WorkspaceHeader = "Comfrey-Workspace"

// maxTokens is the maximum number of tokens of one answer.
const maxTokens = 4096

// Config configures a CallerServer.
type Config struct {
	// Settings configures the listener.
	Settings settings.Caller
	// Control provides the tables in force and receives the request to stop.
	Control *control.Control
	// Completions runs completion requests.
	Completions *completion.Runner
	// Relay forwards plain requests to backend servers.
	Relay *relay.Relay
	// Admission queues requests until they may run.
	Admission *admission.Admission
	// Retries holds the retry budget of each pool.
	Retries *retries.Budgets
	// Log is the logger.
	Log *logrus.Entry
	// Metrics holds a counter for each outcome.
	Metrics metrics.Registry
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Stop configures the graceful shutdown.
	Stop settings.Stop
	// ReleaseLease releases the lease at the end of the graceful shutdown; nil does nothing.
	ReleaseLease func(ctx context.Context) error
}

// CallerServer is the HTTP server for callers.
type CallerServer struct {
	config    Config
	container *restful.Container
	// slots limits the requests in progress to the sum of MaxConcurrent and MaxQueued.
	slots  chan struct{}
	server *graceful.Server
}

// New returns a CallerServer.
func New(config Config) *CallerServer {
	e := &CallerServer{
		config:    config,
		container: restful.NewContainer(),
		slots:     make(chan struct{}, config.Settings.MaxConcurrent+config.Settings.MaxQueued),
	}
	e.container.Add(e.webService())
	e.container.ServiceErrorHandler(e.handleUnrouted)
	e.container.DoNotRecover(false)
	e.container.RecoverHandler(e.handlePanic)
	e.server = graceful.New(e.gracefulConfig())
	return e
}

// webService returns the routes of the HTTP interface.
func (e *CallerServer) webService() *restful.WebService {
	service := new(restful.WebService)
	service.Route(service.POST("/v1/completions").To(e.completeRequest))
	service.Route(service.POST("/v1/idempotency-keys").To(e.mintKey))
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		service.Route(service.Method(method).Path("/").To(e.relayRequest))
		service.Route(service.Method(method).Path("/{path:*}").To(e.relayRequest))
	}
	return service
}

// handleUnrouted writes the failure of a request that the container rejected before any handler ran.
func (e *CallerServer) handleUnrouted(serviceErr restful.ServiceError, r *restful.Request, w *restful.Response) {
	code := outcome.CodeInvalid
	if serviceErr.Code == http.StatusNotFound {
		code = outcome.CodeNoRoute
	}
	e.writeFailure(w, graceful.RequestID(r.Request.Context()), outcome.NotRunf(code, "%s %s: %s", r.Request.Method, r.Request.URL.Path, serviceErr.Message))
}

// handlePanic writes the failure of a request whose handler panicked; its outcome is unknown.
func (e *CallerServer) handlePanic(reason any, w http.ResponseWriter) {
	e.config.Log.WithField("stack", string(debug.Stack())).Errorf("a handler panicked: %v", reason)
	e.writeFailure(w, "", outcome.Unknownf(outcome.CodeInternal, "the request broke an instance's handler"))
}

// ServeHTTP serves one request; it refuses the request if too many are in progress.
func (e *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		e.writeFailure(w, graceful.RequestID(r.Context()), outcome.NotRunf(outcome.CodeOverload, "the instance has too many requests in progress"))
		return
	}
	e.container.ServeHTTP(w, r)
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// readCompletion reads and validates the body of a completion request; the error is an outcome.Failure.
func (e *CallerServer) readCompletion(r *restful.Request, w http.ResponseWriter) (body completionBody, err error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Request.Body, e.config.Settings.MaxBodyBytes))
	if err = decoder.Decode(&body); err != nil {
		return body, outcome.NotRunf(outcome.CodeInvalid, "body is not a completion request: %v", err)
	}
	if body.Model == "" || body.Prompt == "" {
		return body, outcome.NotRunf(outcome.CodeInvalid, "model and prompt must not be empty")
	}
	if body.MaxTokens <= 0 || body.MaxTokens > maxTokens {
		return body, outcome.NotRunf(outcome.CodeInvalid, "max_tokens = %d is out of range; use 1 to %d", body.MaxTokens, maxTokens)
	}
	return body, nil
}

// completeRequest serves a completion request.
func (e *CallerServer) completeRequest(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	body, err := e.readCompletion(r, w)
	if err != nil {
		e.writeFailure(w, id, err)
		return
	}
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := e.config.Control.Snapshot().Tables.MatchModel(body.Model, workspace)
	if !ok {
		e.writeFailure(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves model %q for workspace %q", body.Model, workspace))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Deadline())
	defer cancel()
	release, err := e.admit(ctx, id, workspace, route, body.MaxTokens)
	if err != nil {
		e.writeFailure(w, id, err)
		return
	}
	defer func() { release(err == nil) }()
	request := completion.Request{ID: id, Route: route, Prompt: body.Prompt, MaxTokens: body.MaxTokens}
	writer := newAnswerWriter(w, id, body)
	reason, err := e.config.Completions.Run(ctx, request, writer.writeToken)
	if err != nil && !writer.started() {
		e.writeFailure(w, id, err)
		return
	}
	e.countOutcome(writer.finish(string(reason), err))
	e.config.Log.WithFields(logrus.Fields{"request": id, "workspace": workspace, "route": route.Name}).WithError(err).Info("completion")
}

// relayRequest serves a plain request, which the relay forwards to a backend server.
func (e *CallerServer) relayRequest(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := e.config.Control.Snapshot().Tables.MatchPath(r.Request.URL.Path, workspace)
	if !ok {
		e.writeFailure(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves path %q for workspace %q", r.Request.URL.Path, workspace))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, e.config.Settings.MaxBodyBytes))
	if err != nil {
		e.writeFailure(w, id, outcome.NotRunf(outcome.CodeInvalid, "cannot read the body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Deadline())
	defer cancel()
	release, err := e.admit(ctx, id, workspace, route, 1)
	if err != nil {
		e.writeFailure(w, id, err)
		return
	}
	defer func() { release(err == nil) }()
	response, err := e.config.Relay.Run(ctx, relay.Request{
		ID: id, Workspace: workspace, Route: route, Method: r.Request.Method, Path: r.Request.URL.RequestURI(),
		Header: r.Request.Header, Body: body,
	})
	if err != nil {
		e.writeFailure(w, id, err)
		return
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.Header().Set(outcome.RequestIDHeader, id)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	e.countOutcome(outcome.Done)
}

// admit waits until the request may run; release must be called at its end, with whether it succeeded.
func (e *CallerServer) admit(ctx context.Context, id, workspace string, route table.Route, units int) (release func(served bool), err error) {
	leaveAdmission, err := e.config.Admission.Admit(ctx, admission.Request{
		ID: id, Pool: route.Pool, Workspace: workspace, Priority: route.Priority, Units: units,
	})
	if err != nil {
		return nil, err
	}
	return func(served bool) {
		leaveAdmission(served)
		if served {
			e.config.Retries.Succeeded(route.Pool)
		}
	}, nil
}

// failureBody is the body of a response, or the data of the last event of a stream, that reports a failure.
type failureBody struct {
	Error *outcome.Failure `json:"error"`
}

// writeFailure responds with a failure; nothing may have been written before.
//
// An empty id leaves the request header out.
func (e *CallerServer) writeFailure(w http.ResponseWriter, id string, err error) {
	failure := outcome.FromError(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, string(failure.Outcome))
	if id != "" {
		w.Header().Set(outcome.RequestIDHeader, id)
	}
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.WriteHeader(failure.Status())
	_ = json.NewEncoder(w).Encode(failureBody{Error: failure})
	e.countOutcome(failure.Outcome)
	e.config.Log.WithFields(logrus.Fields{"request": id, "outcome": failure.Outcome}).Warn(failure.Message)
}

// countOutcome increments the counter of the outcome.
func (e *CallerServer) countOutcome(result outcome.Outcome) {
	metrics.GetOrRegisterCounter("requests."+string(result), e.config.Metrics).Inc(1)
}
