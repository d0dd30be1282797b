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
	// Settings configures the listener and the limits of requests.
	Settings settings.Caller
	// Control provides the tables in force and is notified when the graceful shutdown begins.
	Control *control.Control
	// Completions runs completion requests.
	Completions *completion.Runner
	// Relay sends plain requests to backend servers.
	Relay *relay.Relay
	// Admission queues requests until they may run.
	Admission *admission.Admission
	// Retries holds the retry budget of each pool.
	Retries *retries.Budgets
	// Log receives a line for each failed request, each ended completion request and each panic of a handler, and lines
	// about the graceful shutdown.
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
	// semaphore limits the requests in progress to the sum of MaxRunning and MaxQueued.
	semaphore chan struct{}
	server    *graceful.Server
}

// New returns a CallerServer that accepts connections once Serve is called.
func New(config Config) *CallerServer {
	s := &CallerServer{
		config:    config,
		container: restful.NewContainer(),
		semaphore: make(chan struct{}, config.Settings.MaxRunning+config.Settings.MaxQueued),
	}
	s.container.Add(s.webService())
	s.container.ServiceErrorHandler(s.handleUnrouted)
	s.container.DoNotRecover(false)
	s.container.RecoverHandler(s.handlePanic)
	s.server = graceful.New(s.gracefulConfig())
	return s
}

// webService returns the endpoints of the HTTP interface.
func (s *CallerServer) webService() *restful.WebService {
	service := new(restful.WebService)
	service.Route(service.POST("/v1/completions").To(s.serveCompletion))
	service.Route(service.POST("/v1/idempotency-keys").To(s.mintKey))
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		service.Route(service.Method(method).Path("/").To(s.servePlain))
		service.Route(service.Method(method).Path("/{path:*}").To(s.servePlain))
	}
	return service
}

// handleUnrouted writes the failure of a request that the container rejected before any handler ran.
func (s *CallerServer) handleUnrouted(serviceErr restful.ServiceError, r *restful.Request, w *restful.Response) {
	code := outcome.CodeInvalid
	if serviceErr.Code == http.StatusNotFound {
		code = outcome.CodeNoRoute
	}
	s.writeFailure(w, graceful.RequestID(r.Request.Context()), outcome.NotRunf(code, "%s %s: %s", r.Request.Method, r.Request.URL.Path, serviceErr.Message))
}

// handlePanic writes the failure of a request whose handler panicked; its outcome is unknown. A response that has begun is broken off.
func (s *CallerServer) handlePanic(reason any, w http.ResponseWriter) {
	s.config.Log.WithField("stack", string(debug.Stack())).Errorf("a handler panicked: %v", reason)
	if response, ok := w.(*begunWriter); ok && response.begun {
		panic(http.ErrAbortHandler)
	}
	s.writeFailure(w, "", outcome.Unknownf(outcome.CodeInternal, "the request broke an instance's handler"))
}

// ServeHTTP serves one request; it refuses the request if too many are in progress.
func (s *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	default:
		s.writeFailure(w, graceful.RequestID(r.Context()), outcome.NotRunf(outcome.CodeOverload, "the instance has too many requests in progress"))
		return
	}
	s.container.ServeHTTP(&begunWriter{ResponseWriter: w}, r)
}

// completionBody is the body of a completion request.
type completionBody struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
}

// readCompletion reads and validates the body of a completion request; the error is an *outcome.Failure.
func (s *CallerServer) readCompletion(r *restful.Request, w http.ResponseWriter) (body completionBody, err error) {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Request.Body, s.config.Settings.MaxBodyBytes))
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

// serveCompletion serves a completion request.
func (s *CallerServer) serveCompletion(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	body, err := s.readCompletion(r, w)
	if err != nil {
		s.writeFailure(w, id, err)
		return
	}
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := s.config.Control.Snapshot().Tables.MatchModel(body.Model, workspace)
	if !ok {
		s.writeFailure(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves model %q for workspace %q", body.Model, workspace))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Timeout())
	defer cancel()
	finish, err := s.admit(ctx, id, workspace, route, body.MaxTokens)
	if err != nil {
		s.writeFailure(w, id, err)
		return
	}
	defer func() { finish(err == nil) }()
	request := completion.Request{ID: id, Route: route, Prompt: body.Prompt, MaxTokens: body.MaxTokens}
	writer := newAnswerWriter(w, id, body)
	reason, err := s.config.Completions.Run(ctx, request, writer.writeToken)
	if err != nil && !writer.started() {
		s.writeFailure(w, id, err)
		return
	}
	s.countOutcome(writer.finish(string(reason), err))
	s.config.Log.WithFields(logrus.Fields{"request": id, "workspace": workspace, "route": route.Name}).WithError(err).Info("completion")
}

// servePlain serves a plain request, which the Relay sends to a backend server.
func (s *CallerServer) servePlain(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := s.config.Control.Snapshot().Tables.MatchPath(r.Request.URL.Path, workspace)
	if !ok {
		s.writeFailure(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves path %q for workspace %q", r.Request.URL.Path, workspace))
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, s.config.Settings.MaxBodyBytes))
	if err != nil {
		s.writeFailure(w, id, outcome.NotRunf(outcome.CodeInvalid, "cannot read the body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Timeout())
	defer cancel()
	finish, err := s.admit(ctx, id, workspace, route, 1)
	if err != nil {
		s.writeFailure(w, id, err)
		return
	}
	defer func() { finish(err == nil) }()
	response, err := s.config.Relay.Run(ctx, relay.Request{
		ID: id, Workspace: workspace, Route: route, Method: r.Request.Method, Path: r.Request.URL.RequestURI(),
		Header: r.Request.Header, Body: body,
	})
	if err != nil {
		s.writeFailure(w, id, err)
		return
	}
	for name, values := range response.Header {
		w.Header()[name] = values
	}
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.Header().Set(outcome.RequestIDHeader, id)
	w.WriteHeader(response.Status)
	_, _ = w.Write(response.Body)
	s.countOutcome(outcome.Done)
}

// admit waits until the request may run. The function finish must be called when the request has ended; served reports
// whether it succeeded.
func (s *CallerServer) admit(ctx context.Context, id, workspace string, route table.Route, units int) (finish func(served bool), err error) {
	finishAdmission, err := s.config.Admission.Admit(ctx, admission.Request{
		ID: id, Pool: route.Pool, Workspace: workspace, Priority: route.Priority, Units: units,
	})
	if err != nil {
		return nil, err
	}
	return func(served bool) {
		finishAdmission(served)
		if served {
			s.config.Retries.Succeeded(route.Pool)
		}
	}, nil
}

// failureBody is the body of a response, or the data of the last event of a stream, that reports a failure.
type failureBody struct {
	Error *outcome.Failure `json:"error"`
}

// writeFailure responds with a failure; nothing may have been written before.
//
// If id is empty, the response has no outcome.RequestIDHeader.
func (s *CallerServer) writeFailure(w http.ResponseWriter, id string, err error) {
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
	s.countOutcome(failure.Outcome)
	s.config.Log.WithFields(logrus.Fields{"request": id, "outcome": failure.Outcome}).Warn(failure.Message)
}

// countOutcome increments the counter of the outcome.
func (s *CallerServer) countOutcome(result outcome.Outcome) {
	metrics.GetOrRegisterCounter("requests."+string(result), s.config.Metrics).Inc(1)
}
