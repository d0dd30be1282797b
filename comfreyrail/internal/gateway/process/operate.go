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

// MetricsPath is the path of the metrics as text, StatePath that of the state as JSON.
const (
	MetricsPath = "/metrics"
	StatePath   = "/state"
)

// operateTimeout is the longest time for a request to the listeners for operators and the balancer.
const operateTimeout = 5 * time.Second

// OperatorServer serves the balancer's question, metrics and the state.
type OperatorServer struct {
	// Listen is the host and port to listen on.
	Listen string
	// ReadyPath is the path of the balancer's question.
	ReadyPath string
	// Ready answers it.
	Ready func() bool
	// Metrics holds the counters and times.
	Metrics metrics.Registry
	// Catalog holds the state.
	Catalog *catalog.Catalog
	// Log receives the log.
	Log *logrus.Entry
}

// Serve answers until the context ends.
func (o *OperatorServer) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "listener for operators")
	bound, err := new(net.ListenConfig).Listen(ctx, "tcp", o.Listen)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+o.ReadyPath, o.ready)
	mux.HandleFunc("GET "+MetricsPath, o.metrics)
	mux.HandleFunc("GET "+StatePath, o.state)
	server := &http.Server{Handler: mux, ReadTimeout: operateTimeout, ErrorLog: newErrorLog(o.Log)}
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	return server.Serve(bound)
}

func (o *OperatorServer) ready(w http.ResponseWriter, _ *http.Request) {
	if !o.Ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

func (o *OperatorServer) metrics(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	metrics.WriteOnce(o.Metrics, w)
}

func (o *OperatorServer) state(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	if err := WriteState(w, o.Catalog); err != nil {
		o.Log.WithError(err).Info("the state was not written")
	}
}

// WriteState writes what the catalog knows, without keys.
func WriteState(w io.Writer, known *catalog.Catalog) (err error) {
	defer errors.DeferredAnnotatef(&err, "write state")
	snapshot := known.Snapshot()
	age, confirmed := known.Age()
	state := struct {
		Version   uint64 `json:"version"`
		Routes    int    `json:"routes"`
		Confirmed bool   `json:"confirmed"`
		Age       string `json:"age"`
		Instances any    `json:"instances"`
		Placer    string `json:"placer"`
		Servers   any    `json:"servers"`
	}{Confirmed: confirmed, Age: age.String(), Instances: snapshot.Instances, Placer: string(snapshot.Placer.Value), Servers: snapshot.Servers}
	if snapshot.Table != nil {
		state.Version, state.Routes = snapshot.Table.Config.Version, len(snapshot.Table.Config.Routes)
	}
	return json.NewEncoder(w).Encode(state)
}

// logWriter passes the lines of a standard logger on.
type logWriter struct{ log *logrus.Entry }

// Write logs one line.
func (w logWriter) Write(line []byte) (int, error) {
	w.log.Debug(fmt.Sprintf("http: %s", line))
	return len(line), nil
}

func newErrorLog(log *logrus.Entry) *stdlog.Logger { return stdlog.New(logWriter{log: log}, "", 0) }
