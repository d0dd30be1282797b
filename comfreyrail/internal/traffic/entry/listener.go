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

// Limits and timeouts of the HTTP server, and the timeout of the release of the lease.
const (
	maxHeaderBytes    = 32 << 10
	readHeaderTimeout = 5 * time.Second
	readTimeout       = 30 * time.Second
	idleTimeout       = 2 * time.Minute
	releaseTimeout    = 5 * time.Second
)

// Serve serves callers until the graceful shutdown has ended, or until the context ends, which aborts every request.
func (s *CallerServer) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "serve callers")
	return s.server.Serve(ctx)
}

// GracefulServer returns the server for callers, which carries out the graceful shutdown.
func (s *CallerServer) GracefulServer() *graceful.Server { return s.server }

// gracefulConfig returns the configuration of the server for callers.
func (s *CallerServer) gracefulConfig() graceful.Config {
	return graceful.Config{
		Listen: s.config.Settings.Listen,
		NewHTTPServer: func() *http.Server {
			return &http.Server{
				MaxHeaderBytes: maxHeaderBytes, ReadHeaderTimeout: readHeaderTimeout,
				ReadTimeout: readTimeout, IdleTimeout: idleTimeout,
			}
		},
		Handler:       s,
		Refuse:        s.refuseStopping,
		CloseResponse: closeResponse(stoppingFailure()), TimeoutResponse: closeResponse(timeoutFailure()),
		Stop: stop.Config{
			BalancerLag: time.Duration(s.config.Stop.BalancerLag), IdleTimeout: time.Duration(s.config.Stop.IdleTimeout),
			Timeout: time.Duration(s.config.Stop.Timeout), Checker: s.config.Checker,
		},
		SetUnready:   func(ctx context.Context) { s.config.Control.Send(ctx, control.ShutdownStarted{}) },
		ReleaseLease: s.releaseLease,
		Metrics:      s.config.Metrics,
		Log:          s.config.Log,
	}
}

// refuseStopping refuses a request on a connection that was opened Stop.BalancerLag or more after the start of the
// shutdown. It also refuses a request that violates the invariant stop.begin of rail/stop, because its connection is
// ended, closed or idle.
func (s *CallerServer) refuseStopping(w http.ResponseWriter, r *http.Request) {
	s.writeFailure(w, graceful.RequestID(r.Context()), stoppingFailure())
}

// stoppingFailure returns the failure of a request that was not run because the instance is stopping.
func stoppingFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.CodeStopping, "the instance is stopping; send the request again")
}

// timeoutFailure returns the failure of a request that was not run because its connection ended before it had arrived.
func timeoutFailure() *outcome.Failure {
	return outcome.NotRunf(outcome.CodeDeadline, "no whole request arrived in time; send the request again")
}

// closeResponse returns the HTTP response that ends a connection.
//
// A caller that is sending a request at that time reads it as the response to that request.
func closeResponse(failure *outcome.Failure) []byte {
	body, _ := json.Marshal(failureBody{Error: failure})
	const format = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Type: application/json\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Appendf(nil, format, outcome.Header, outcome.NotRun, len(body), body)
}

// releaseLease calls Config.ReleaseLease, if it is set. An error is only logged, because the lease expires some time after
// the process has ended.
func (s *CallerServer) releaseLease(ctx context.Context) {
	if s.config.ReleaseLease == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	if err := s.config.ReleaseLease(ctx); err != nil {
		s.config.Log.WithError(err).Warn("stopping: cannot release the lease")
	}
}
