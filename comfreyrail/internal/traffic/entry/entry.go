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

// WorkspaceHeader is the header that names the caller's workspace.
const WorkspaceHeader = "Comfrey-Workspace"

// maxTokens is the greatest number of tokens of one answer.
const maxTokens = 4096

// Config configures a CallerServer.
type Config struct {
	// Settings configures the listener.
	Settings settings.Caller
	// Control publishes the state.
	Control *control.Control
	// Completions runs completion requests.
	Completions *completion.Runner
	// Relay passes plain requests on.
	Relay *relay.Relay
	// Admission holds requests until they may run.
	Admission *admission.Admission
	// Retries bounds the retries on each pool.
	Retries *retries.Budgets
	// Log receives the log.
	Log *logrus.Entry
	// Metrics receives the counts of outcomes.
	Metrics metrics.Registry
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// Stop configures the planned stop.
	Stop settings.Stop
	// ReleaseLease gives up the lease at the end of the stop; nil does nothing.
	ReleaseLease func(ctx context.Context) error
}

// CallerServer serves callers.
type CallerServer struct {
	config    Config
	container *restful.Container
	slots     chan struct{}
	server    *graceful.Server
}

// New returns a CallerServer.
func New(config Config) *CallerServer {
	e := &CallerServer{
		config:    config,
		container: restful.NewContainer(),
		slots:     make(chan struct{}, config.Settings.MaxConcurrent+config.Settings.MaxQueued),
	}
	e.container.Add(e.service())
	e.container.ServiceErrorHandler(e.unrouted)
	e.container.DoNotRecover(false)
	e.container.RecoverHandler(e.recovered)
	e.server = graceful.New(e.serving())
	return e
}

// service returns the paths that callers may ask for.
func (e *CallerServer) service() *restful.WebService {
	service := new(restful.WebService)
	service.Route(service.POST("/v1/completions").To(e.complete))
	service.Route(service.POST("/v1/idempotency-keys").To(e.mint))
	methods := []string{
		http.MethodGet, http.MethodHead, http.MethodPost, http.MethodPut, http.MethodPatch, http.MethodDelete, http.MethodOptions,
	}
	for _, method := range methods {
		service.Route(service.Method(method).Path("/").To(e.pass))
		service.Route(service.Method(method).Path("/{path:*}").To(e.pass))
	}
	return service
}

// unrouted answers a request that the container turned away before any of it ran.
func (e *CallerServer) unrouted(refused restful.ServiceError, r *restful.Request, w *restful.Response) {
	code := outcome.CodeInvalid
	if refused.Code == http.StatusNotFound {
		code = outcome.CodeNoRoute
	}
	e.fail(w, graceful.RequestID(r.Request.Context()), outcome.NotRunf(code, "%s %s: %s", r.Request.Method, r.Request.URL.Path, refused.Message))
}

// recovered answers a request whose handler panicked; what ran of it is not known.
func (e *CallerServer) recovered(reason any, w http.ResponseWriter) {
	e.config.Log.WithField("stack", string(debug.Stack())).Errorf("a handler panicked: %v", reason)
	e.fail(w, "", outcome.Unknownf(outcome.CodeInternal, "the request broke an instance's handler"))
}

// ServeHTTP answers one request.
func (e *CallerServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	select {
	case e.slots <- struct{}{}:
		defer func() { <-e.slots }()
	default:
		e.fail(w, graceful.RequestID(r.Context()), outcome.NotRunf(outcome.CodeOverload, "the instance has too many requests in progress"))
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

// readCompletion reads and checks the body of a completion request.
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

func (e *CallerServer) complete(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	body, err := e.readCompletion(r, w)
	if err != nil {
		e.fail(w, id, err)
		return
	}
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := e.config.Control.Snapshot().Tables.MatchModel(body.Model, workspace)
	if !ok {
		e.fail(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves model %q for workspace %q", body.Model, workspace))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Deadline())
	defer cancel()
	leave, err := e.enter(ctx, id, workspace, route, body.MaxTokens)
	if err != nil {
		e.fail(w, id, err)
		return
	}
	defer func() { leave(err == nil) }()
	request := completion.Request{ID: id, Route: route, Prompt: body.Prompt, MaxTokens: body.MaxTokens}
	writer := newAnswerWriter(w, id, body)
	reason, err := e.config.Completions.Run(ctx, request, writer.token)
	if err != nil && !writer.started() {
		e.fail(w, id, err)
		return
	}
	e.count(writer.finish(string(reason), err))
	e.config.Log.WithFields(logrus.Fields{"request": id, "workspace": workspace, "route": route.Name}).WithError(err).Info("completion")
}

// pass relays a plain request.
func (e *CallerServer) pass(r *restful.Request, w *restful.Response) {
	id := graceful.RequestID(r.Request.Context())
	workspace := r.Request.Header.Get(WorkspaceHeader)
	route, ok := e.config.Control.Snapshot().Tables.MatchPath(r.Request.URL.Path, workspace)
	if !ok {
		e.fail(w, id, outcome.NotRunf(outcome.CodeNoRoute, "no route serves path %q for workspace %q", r.Request.URL.Path, workspace))
		return
	}
	content, err := io.ReadAll(http.MaxBytesReader(w, r.Request.Body, e.config.Settings.MaxBodyBytes))
	if err != nil {
		e.fail(w, id, outcome.NotRunf(outcome.CodeInvalid, "cannot read the body: %v", err))
		return
	}
	ctx, cancel := context.WithTimeout(r.Request.Context(), route.Deadline())
	defer cancel()
	leave, err := e.enter(ctx, id, workspace, route, 1)
	if err != nil {
		e.fail(w, id, err)
		return
	}
	defer func() { leave(err == nil) }()
	answer, err := e.config.Relay.Run(ctx, relay.Request{
		ID: id, Workspace: workspace, Route: route, Method: r.Request.Method, Path: r.Request.URL.RequestURI(),
		Header: r.Request.Header, Body: content,
	})
	if err != nil {
		e.fail(w, id, err)
		return
	}
	for name, values := range answer.Header {
		w.Header()[name] = values
	}
	w.Header().Set(outcome.Header, string(outcome.Done))
	w.Header().Set(outcome.RequestHeader, id)
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
	e.count(outcome.Done)
}

// enter waits until the request may run.
func (e *CallerServer) enter(ctx context.Context, id, workspace string, route table.Route, units int) (leave func(served bool), err error) {
	done, err := e.config.Admission.Admit(ctx, admission.Request{
		ID: id, Pool: route.Pool, Workspace: workspace, Priority: route.Priority, Units: units,
	})
	if err != nil {
		return nil, err
	}
	return func(served bool) {
		done(served)
		if served {
			e.config.Retries.Succeeded(route.Pool)
		}
	}, nil
}

// failureBody is the body of an answer that tells a failure.
type failureBody struct {
	Error *outcome.Failure `json:"error"`
}

// fail answers with a failure before anything else has been written.
func (e *CallerServer) fail(w http.ResponseWriter, id string, err error) {
	failure := outcome.FromError(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set(outcome.Header, string(failure.Outcome))
	if id != "" {
		w.Header().Set(outcome.RequestHeader, id)
	}
	if failure.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(failure.RetryAfter.Seconds()))))
	}
	w.WriteHeader(failure.Status())
	_ = json.NewEncoder(w).Encode(failureBody{Error: failure})
	e.count(failure.Outcome)
	e.config.Log.WithFields(logrus.Fields{"request": id, "outcome": failure.Outcome}).Warn(failure.Message)
}

// count counts one request with its outcome.
func (e *CallerServer) count(result outcome.Outcome) {
	metrics.GetOrRegisterCounter("requests."+string(result), e.config.Metrics).Inc(1)
}
