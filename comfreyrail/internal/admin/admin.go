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

// Limits of a request.
const (
	// readTimeout is the longest time that a request may take to arrive.
	readTimeout = 10 * time.Second
	// maxBodyBytes is the greatest size of a body.
	maxBodyBytes = 16 << 20
	// maxHeaderBytes is the greatest size of the headers.
	maxHeaderBytes = 64 << 10
	// maxConcurrent is the greatest number of requests in progress.
	maxConcurrent = 64
)

// Config configures a Server.
type Config struct {
	// Settings configures the listener.
	Settings settings.Admin
	// Control publishes the state.
	Control *control.Control
	// Sync takes edits.
	Sync *configsync.Sync
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry
	// Members returns the instances with the generation in force at each, zero for one that does not answer; nil lists none.
	Members func(ctx context.Context) []member.Member
}

// Server serves operators.
type Server struct {
	config    Config
	container *restful.Container
	slots     chan struct{}
}

// New returns a Server.
func New(config Config) *Server {
	a := &Server{config: config, container: restful.NewContainer(), slots: make(chan struct{}, maxConcurrent)}
	service := new(restful.WebService)
	service.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.GET("/ready").To(a.ready))
	service.Route(service.GET("/dump").To(a.dump))
	service.Route(service.GET("/metrics").To(a.metrics))
	service.Route(service.GET("/status").To(a.status))
	service.Route(service.GET("/tables").To(a.tables))
	service.Route(service.GET("/routes").To(a.routes))
	service.Route(service.GET("/routes/{name}").To(a.route))
	service.Route(service.PUT("/routes/{name}").To(a.putRoute))
	service.Route(service.DELETE("/routes/{name}").To(a.deleteRoute))
	service.Route(service.GET("/pools").To(a.pools))
	service.Route(service.GET("/pools/{name}").To(a.pool))
	service.Route(service.PUT("/pools/{name}").To(a.putPool))
	service.Route(service.DELETE("/pools/{name}").To(a.deletePool))
	service.Route(service.POST("/pools/{name}/servers/{server}/drain").To(a.drain))
	service.Route(service.POST("/diff").To(a.diff))
	service.Route(service.POST("/edits").To(a.edit))
	service.Route(service.GET("/edits/{id}").To(a.lookup))
	service.Route(service.POST("/edits/{id}/withdraw").To(a.withdraw))
	service.Route(service.GET("/history").To(a.history))
	a.container.Filter(a.limit)
	a.container.Filter(a.authorize)
	a.container.Add(service)
	return a
}

// ServeHTTP answers one request.
func (a *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.container.ServeHTTP(w, r) }

// Serve listens for operators until the context ends.
func (a *Server) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve operators")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", a.config.Settings.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: a, ReadTimeout: readTimeout, MaxHeaderBytes: maxHeaderBytes}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err = server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

// limit bounds the body and the number of requests in progress.
func (a *Server) limit(r *restful.Request, w *restful.Response, chain *restful.FilterChain) {
	select {
	case a.slots <- struct{}{}:
		defer func() { <-a.slots }()
	default:
		fail(w, http.StatusTooManyRequests, "too many requests are in progress; try again later")
		return
	}
	r.Request.Body = http.MaxBytesReader(w, r.Request.Body, maxBodyBytes)
	chain.ProcessFilter(r, w)
}

// ErrorResponse is the body of an answer to a request that was not carried out.
type ErrorResponse struct {
	// Error says what is wrong and what to do next.
	Error string `json:"error"`
}

// fail answers that a request was not carried out.
func fail(w *restful.Response, status int, message string) {
	_ = w.WriteHeaderAndJson(status, ErrorResponse{Error: message}, restful.MIME_JSON)
}
