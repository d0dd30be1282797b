package admin

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/emicklei/go-restful/v3"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/configsync"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// Limits on requests.
const (
	// readTimeout is the timeout for reading a whole request.
	readTimeout = 10 * time.Second
	// maxBodyBytes is the maximum size of a request body.
	maxBodyBytes = 16 << 20
	// maxHeaderBytes is the maximum size of the request headers.
	maxHeaderBytes = 64 << 10
	// maxConcurrent is the maximum number of requests in progress.
	maxConcurrent = 64
)

// Config configures a Server.
type Config struct {
	// Settings configures the listener.
	Settings settings.Admin
	// Control provides snapshots of the state of the instance.
	Control *control.Control
	// Sync accepts edits and reads their state and history.
	Sync *configsync.Sync
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry
	// Members returns the instances with the generation in force at each, which is zero for an instance that does not respond.
	// If Members is nil, the status lists no instances.
	Members func(ctx context.Context) []member.Member
}

// Server is the HTTP server for operators.
type Server struct {
	config    Config
	container *restful.Container
	// semaphore limits the requests in progress to maxConcurrent.
	semaphore chan struct{}
}

// New returns a Server. It does not listen until Serve is called.
func New(config Config) *Server {
	s := &Server{config: config, container: restful.NewContainer(), semaphore: make(chan struct{}, maxConcurrent)}
	service := new(restful.WebService)
	service.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.GET("/ready").To(s.ready))
	service.Route(service.GET("/dump").To(s.dump))
	service.Route(service.GET("/metrics").To(s.metrics))
	service.Route(service.GET("/status").To(s.status))
	service.Route(service.GET("/tables").To(s.tables))
	service.Route(service.GET("/routes").To(s.routes))
	service.Route(service.GET("/routes/{name}").To(s.route))
	service.Route(service.PUT("/routes/{name}").To(s.putRoute))
	service.Route(service.DELETE("/routes/{name}").To(s.deleteRoute))
	service.Route(service.GET("/pools").To(s.pools))
	service.Route(service.GET("/pools/{name}").To(s.pool))
	service.Route(service.PUT("/pools/{name}").To(s.putPool))
	service.Route(service.DELETE("/pools/{name}").To(s.deletePool))
	service.Route(service.POST("/pools/{name}/servers/{server}/drain").To(s.drain))
	service.Route(service.POST("/diff").To(s.diff))
	service.Route(service.POST("/edits").To(s.edit))
	service.Route(service.GET("/edits/{id}").To(s.editState))
	service.Route(service.POST("/edits/{id}/withdraw").To(s.withdraw))
	service.Route(service.GET("/history").To(s.history))
	s.container.Filter(s.limitRequests)
	s.container.Filter(s.authorize)
	s.container.Add(service)
	return s
}

// ServeHTTP serves one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.container.ServeHTTP(w, r) }

// Serve listens for requests of operators until the context is done.
func (s *Server) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve operators")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", s.config.Settings.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: s, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err = server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// limitRequests limits the size of the body and the number of requests in progress.
func (s *Server) limitRequests(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	select {
	case s.semaphore <- struct{}{}:
		defer func() { <-s.semaphore }()
	default:
		writeError(w, http.StatusTooManyRequests, "too many requests are in progress; try again later")
		return
	}
	r.Request.Body = http.MaxBytesReader(w, r.Request.Body, maxBodyBytes)
	chain.ProcessFilter(r, w)
}

// ErrorResponse is the response body for a request that was not carried out.
type ErrorResponse struct {
	// Error describes the problem and what the operator can do about it.
	Error string `json:"error"`
}

// writeError writes an error response with the status code.
func writeError(w *restful.Response, status int, message string) {
	_ = w.WriteHeaderAndJson(status, ErrorResponse{Error: message}, restful.MIME_JSON)
}
