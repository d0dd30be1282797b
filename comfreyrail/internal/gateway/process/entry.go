package process

import (
	"context"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/duty"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// Limits that hold where the configuration names none.
const (
	// defaultHeaderBytes is the greatest size of the headers in bytes.
	defaultHeaderBytes = 16 << 10
	// defaultHeaderTimeout is the longest time that the headers may take.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is the longest time that a connection may stay idle.
	defaultIdleTimeout = 30 * time.Second
	// limitsWait is how long the listener waits for the limits of a configuration.
	limitsWait = 1500 * time.Millisecond
	// tableWait is the time between two looks for the first configuration.
	tableWait = 20 * time.Millisecond
)

// CallerServer serves callers.
type CallerServer struct {
	server  *graceful.Server
	catalog *catalog.Catalog
	within  time.Duration
}

// NewCallerServer returns a CallerServer.
func NewCallerServer(loaded settings.Gateway, known *catalog.Catalog, forwarder *forward.Forwarder, lease *duty.Lease, checker *invariant.Checker, log *logrus.Entry) *CallerServer {
	e := &CallerServer{catalog: known, within: confirmWithin(loaded)}
	e.server = graceful.New(graceful.Config{
		Listen:        loaded.Listen.Caller,
		NewHTTPServer: func() *http.Server { return newServer(limitsOf(known.Snapshot().Table), log) },
		Handler:       forwarder,
		Refuse:        forwarder.ServeStopping,
		Stop: stop.Config{
			BalancerLag: time.Duration(loaded.Stop.BalancerLag), IdleTimeout: time.Duration(loaded.Stop.IdleTimeout), Timeout: time.Duration(loaded.Stop.Timeout), Checker: checker,
		},
		SetUnready: func(context.Context) {
			now := time.Now()
			forwarder.PlanStop(now.Add(time.Duration(loaded.Stop.BalancerLag)), now.Add(time.Duration(loaded.Stop.Timeout)))
		},
		ReleaseLease: lease.Release,
		Log:          log,
	})
	return e
}

// limitsOf returns the limits of a configuration, none if it is not known.
func limitsOf(table *route.Table) route.Limits {
	if table == nil {
		return route.Limits{}
	}
	return table.Config.Limits
}

// newServer returns a server with the limits of the configuration.
func newServer(limits route.Limits, log *logrus.Entry) *http.Server {
	server := &http.Server{
		MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout,
		ErrorLog: newErrorLog(log),
	}
	if server.MaxHeaderBytes <= 0 {
		server.MaxHeaderBytes = defaultHeaderBytes
	}
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = defaultHeaderTimeout
	}
	if server.IdleTimeout <= 0 {
		server.IdleTimeout = defaultIdleTimeout
	}
	return server
}

// Serve waits a while for a configuration, whose limits then hold, and serves callers; without one they are told to come
// back.
func (e *CallerServer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(tableWait)
	begin := time.Now()
	for time.Since(begin) < limitsWait && e.catalog.Snapshot().Table == nil && !e.server.Stopping() {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return ctx.Err()
		case <-ticker.C:
		}
	}
	ticker.Stop()
	return e.server.Serve(ctx)
}

// Ready reports whether the balancer may send callers here.
func (e *CallerServer) Ready() bool {
	if e.server.Stopping() || e.catalog.Snapshot().Table == nil {
		return false
	}
	age, ok := e.catalog.Age()
	return ok && age < e.within
}
