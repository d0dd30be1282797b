package process

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
)

// Paths of the operators' requests.
const (
	// MetricsPath is the path of the metrics as text.
	MetricsPath = "/metrics"
	// StatePath is the path of the catalog's state as JSON.
	StatePath = "/state"
)

// operatorTimeout is the timeout of reading a request from an operator or the load balancer.
const operatorTimeout = 5 * time.Second

// OperatorServer serves the load balancer's readiness check, the metrics and the state.
type OperatorServer struct {
	// Listen is the host and port to listen on.
	Listen string
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// Ready reports whether this instance is ready for callers.
	Ready func() bool
	// Metrics is the registry of the metrics that are served.
	Metrics metrics.Registry
	// Catalog holds the state that is served.
	Catalog *catalog.Catalog
	// Log is the logger.
	Log *logrus.Entry
}

// Serve serves requests until the context ends.
func (o *OperatorServer) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "listener for operators")
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, o.serveReady)
	mux.HandleFunc("GET "+MetricsPath, o.serveMetrics)
	mux.HandleFunc("GET "+StatePath, o.serveState)
	server := &http.Server{Handler: mux, ReadTimeout: operatorTimeout, ErrorLog: newErrorLog(o.Log)}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	return server.Serve(listener)
}

func (o *OperatorServer) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !o.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *OperatorServer) serveMetrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(o.Metrics, w)
}

func (o *OperatorServer) serveState(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := WriteState(w, o.Catalog); err != nil {
		o.Log.WithError(err).Info("cannot write the state")
	}
}

// WriteState writes the catalog's state as JSON, without the API keys of the configuration.
func WriteState(w io.Writer, cat *catalog.Catalog) (err error) {
	defer errors.DeferredAnnotatef(&err, "write state")
	snapshot := cat.Snapshot()
	age, confirmed := cat.Age()
	state := struct {
		Version   uint64 `json:"version"`
		Routes    int    `json:"routes"`
		Confirmed bool   `json:"confirmed"`
		Age       string `json:"age"`
		Instances any    `json:"instances"`
		Placer    string `json:"placer"`
		Servers   any    `json:"servers"`
	}{Confirmed: confirmed, Age: age.String(), Instances: snapshot.Instances, Placer: string(snapshot.Placer.Value), Servers: snapshot.Servers}
	if snapshot.Index != nil {
		state.Version, state.Routes = snapshot.Index.Config.Version, len(snapshot.Index.Config.Routes)
	}
	return json.NewEncoder(w).Encode(state)
}

// logWriter writes the lines of a standard logger to the log at debug level.
type logWriter struct{ log *logrus.Entry }

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug(fmt.Sprintf("http: %s", line))
	return len(line), nil
}

func newErrorLog(log *logrus.Entry) *stdlog.Logger { return stdlog.New(logWriter{log: log}, "", 0) }
