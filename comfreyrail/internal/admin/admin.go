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
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// readTimeout is the longest time that a request may take to arrive.
const readTimeout = 10 * time.Second

// Config configures an Admin.
type Config struct {
	// Settings configures the listener.
	Settings settings.Admin
	// Control publishes the state.
	Control *control.Control
	// Sync takes edits.
	Sync *configsync.Sync
	// Metrics holds the metrics of the process.
	Metrics metrics.Registry
}

// Admin serves operators.
type Admin struct {
	config    Config
	container *restful.Container
}

// Accepted is the answer to an accepted edit.
type Accepted struct {
	// Generation is the generation of the tables that holds the edit.
	Generation uint64 `json:"generation"`
}

// New returns an Admin.
func New(config Config) *Admin {
	a := &Admin{config: config, container: restful.NewContainer()}
	service := new(restful.WebService)
	service.Consumes(restful.MIME_JSON).Produces(restful.MIME_JSON)
	service.Route(service.GET("/ready").To(a.ready))
	service.Route(service.GET("/dump").To(a.dump))
	service.Route(service.GET("/metrics").To(a.metrics))
	service.Route(service.GET("/tables").To(a.tables))
	service.Route(service.PUT("/tables").To(a.replace))
	a.container.Add(service)
	return a
}

// Serve listens for operators until the context ends.
func (a *Admin) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve operators")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", a.config.Settings.Listen)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: a.container, ReadTimeout: readTimeout}
	go func() {
		<-ctx.Done()
		_ = server.Close()
	}()
	if err = server.Serve(listener); errors.Is(err, http.ErrServerClosed) {
		return ctx.Err()
	}
	return err
}

func (a *Admin) ready(_ *restful.Request, w *restful.Response) {
	if a.config.Control.Snapshot().Tables.Generation == 0 {
		_ = w.WriteErrorString(http.StatusServiceUnavailable, "no tables are in force")
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *Admin) dump(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(a.config.Control.Snapshot())
}

func (a *Admin) metrics(_ *restful.Request, w *restful.Response) {
	metrics.WriteJSONOnce(a.config.Metrics, w)
}

func (a *Admin) tables(_ *restful.Request, w *restful.Response) {
	_ = w.WriteAsJson(a.config.Control.Snapshot().Tables)
}

func (a *Admin) replace(r *restful.Request, w *restful.Response) {
	var tables table.Tables
	if err := r.ReadEntity(&tables); err != nil {
		_ = w.WriteErrorString(http.StatusBadRequest, err.Error())
		return
	}
	if problems := tables.Validate(); len(problems) > 0 {
		_ = w.WriteHeaderAndJson(http.StatusUnprocessableEntity, problems, restful.MIME_JSON)
		return
	}
	generation, err := a.config.Sync.Replace(r.Request.Context(), tables)
	if err != nil {
		_ = w.WriteErrorString(http.StatusServiceUnavailable, err.Error())
		return
	}
	_ = w.WriteAsJson(Accepted{Generation: generation})
}
