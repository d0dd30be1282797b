package process

import (
	"context"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/placer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/stop"
)

// Default limits, which apply where the configuration sets none, and times of waiting for the first configuration.
const (
	// defaultHeaderBytes is the maximum size of a request's headers in bytes.
	defaultHeaderBytes = 16 << 10
	// defaultHeaderTimeout is the timeout of reading a request's headers.
	defaultHeaderTimeout = 5 * time.Second
	// defaultIdleTimeout is how long an idle connection from a caller is kept.
	defaultIdleTimeout = 30 * time.Second
	// firstConfigTimeout is how long Serve waits for the first configuration and its limits before it listens.
	firstConfigTimeout = 1500 * time.Millisecond
	// configPollInterval is the time between checks for the first configuration.
	configPollInterval = 20 * time.Millisecond
)

// CallerServer serves callers' requests and reports whether this instance is ready for them.
type CallerServer struct {
	server       *graceful.Server
	catalog      *catalog.Catalog
	maxConfigAge time.Duration
}

// NewCallerServer returns a CallerServer that passes requests to the forwarder and releases the leases when it
// stops.
func NewCallerServer(cfg settings.Gateway, cat *catalog.Catalog, forwarder *forward.Forwarder, membership *placer.Membership, role *placer.Placer, checker *invariant.Checker, registry metrics.Registry, log *logrus.Entry) *CallerServer {
	s := &CallerServer{catalog: cat, maxConfigAge: maxConfigAge(cfg)}
	s.server = graceful.New(graceful.Config{
		Listen:        cfg.Listen.Caller,
		NewHTTPServer: func() *http.Server { return newHTTPServer(configLimits(cat.Snapshot().Index), log) },
		IdleTimeout:   func() time.Duration { return callerIdleTimeout(configLimits(cat.Snapshot().Index)) },
		Handler:       forwarder,
		Refuse:        forwarder.RefuseStopping,
		Panicked:      forwarder.RespondPanicked,
		CloseResponse: forward.CloseResponse(), TimeoutResponse: forward.TimeoutResponse(),
		RequestID: forwarder.RequestID,
		Stop: stop.Config{
			BalancerLag: time.Duration(cfg.Stop.BalancerLag), IdleTimeout: time.Duration(cfg.Stop.IdleTimeout), Timeout: time.Duration(cfg.Stop.Timeout), Checker: checker,
		},
		SetUnready: func(context.Context) {
			// Ready already reports that the instance is stopping; only the forwarder must be told the times of the stop.
			now := time.Now()
			forwarder.PlanStop(now.Add(time.Duration(cfg.Stop.BalancerLag)), now.Add(time.Duration(cfg.Stop.Timeout)))
		},
		ReleaseLease: func(ctx context.Context) {
			role.Release(ctx)
			membership.Release(ctx)
		},
		Metrics: registry, Log: log,
	})
	return s
}

// configLimits returns the limits of a configuration, or no limits if index is nil.
func configLimits(index *route.Index) route.Limits {
	if index == nil {
		return route.Limits{}
	}
	return index.Config.Limits
}

// newHTTPServer returns an HTTP server with the limits, or the defaults for those that are not set.
func newHTTPServer(limits route.Limits, log *logrus.Entry) *http.Server {
	server := &http.Server{
		MaxHeaderBytes: limits.MaxHeaderBytes, ReadHeaderTimeout: limits.HeaderTimeout, IdleTimeout: callerIdleTimeout(limits),
		ErrorLog: newErrorLog(log),
	}
	if server.MaxHeaderBytes <= 0 {
		server.MaxHeaderBytes = defaultHeaderBytes
	}
	if server.ReadHeaderTimeout <= 0 {
		server.ReadHeaderTimeout = defaultHeaderTimeout
	}
	return server
}

// callerIdleTimeout returns how long an idle connection of a caller is kept open, by default defaultIdleTimeout.
func callerIdleTimeout(limits route.Limits) time.Duration {
	if limits.IdleTimeout <= 0 {
		return defaultIdleTimeout
	}
	return limits.IdleTimeout
}

// Serve waits up to firstConfigTimeout for the first configuration, so that the listener applies its limits, and then
// serves callers. Until a configuration is read, requests are refused with status 503 and a Retry-After header.
func (s *CallerServer) Serve(ctx context.Context) error {
	ticker := time.NewTicker(configPollInterval)
	start := time.Now()
	for time.Since(start) < firstConfigTimeout && s.catalog.Snapshot().Index == nil && !s.server.Stopping() {
		select {
		case <-ctx.Done():
			ticker.Stop()
			return ctx.Err()
		case <-ticker.C:
		}
	}
	ticker.Stop()
	return s.server.Serve(ctx)
}

// Ready reports whether the load balancer may send callers to this instance: it isn't stopping, and the store confirmed its
// configuration less than maxConfigAge ago.
func (s *CallerServer) Ready() bool {
	if s.server.Stopping() || s.catalog.Snapshot().Index == nil {
		return false
	}
	age, ok := s.catalog.Age()
	return ok && age < s.maxConfigAge
}
