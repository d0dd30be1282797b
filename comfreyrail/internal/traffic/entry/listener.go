package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// Limits of the listener.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	releaseTimeout    = 5 * time.Second
)

// Serve listens for callers until the planned stop has ended, or until the context ends, which cuts every request.
func (e *CallerServer) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve callers")
	return e.server.Serve(ctx)
}

// GracefulServer returns the server for callers, which carries out the planned stop.
func (e *CallerServer) GracefulServer() *graceful.Server { return e.server }

// serving returns the configuration of the server for callers.
func (e *CallerServer) serving() graceful.Config {
	return graceful.Config{
		Listen: e.config.Settings.Listen,
		NewHTTPServer: func() *http.Server {
			return &http.Server{
				MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
				ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
			}
		},
		Handler:       e,
		Refuse:        e.refuse,
		CloseResponse: farewell(),
		Stop: stop.Config{
			BalancerLag: time.Duration(e.config.Stop.BalancerLag), IdleTimeout: time.Duration(e.config.Stop.IdleTimeout),
			Timeout: time.Duration(e.config.Stop.Timeout), Checker: e.config.Checker,
		},
		SetUnready:   func(ctx context.Context) { e.config.Control.Send(ctx, control.StopRequested{}) },
		ReleaseLease: e.release,
		Log:          e.config.Log,
	}
}

// refuse answers a request on a connection that came after the balancer's lag.
func (e *CallerServer) refuse(w http.ResponseWriter, r *http.Request) {
	e.fail(w, graceful.RequestID(r.Context()), stopping())
}

func stopping() *outcome.Failure {
	return outcome.NotRunf(outcome.CodeStopping, "the instance is stopping; send the request again")
}

// farewell returns the answer that ends an idle connection, which a caller that is just sending reads as its own.
func farewell() []byte {
	body, _ := json.Marshal(failureBody{Error: stopping()})
	const head = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Appendf(nil, head, outcome.Header, outcome.NotRun, len(body), body)
}

// release gives up the lease; the end of the process ends it too, only later.
func (e *CallerServer) release(ctx context.Context) {
	if e.config.ReleaseLease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := e.config.ReleaseLease(ctx); err != nil {
		e.config.Log.WithError(err).Warn("stopping: cannot give up the lease")
	}
}
