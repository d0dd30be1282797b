package process

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/mirror"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/placer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/quarantine"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/usage"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/supervised"
)

// Components holds the components of a gateway.
type Components struct {
	// Catalog keeps a copy of the store's content.
	Catalog *catalog.Catalog
	// Membership keeps this instance listed in the store.
	Membership *placer.Membership
	// Placer assigns layers to engines while this instance has the placer role.
	Placer *placer.Placer
	// Mirror serves changes of the store to other instances.
	Mirror *mirror.Server
	// Exchange exchanges reports of usage with other instances.
	Exchange *usage.Exchange
	// Quarantine keeps requests from engines that would crash under them.
	Quarantine *quarantine.Keeper
	// Prober probes engines for their slowness.
	Prober *forward.Prober
	// Upstream keeps connections to backend servers.
	Upstream *upstream.Client
	// CallerServer serves callers' requests.
	CallerServer *CallerServer
	// OperatorServer serves operators and the load balancer.
	OperatorServer *OperatorServer
}

// Gateway runs the components of a gateway in a supervisor tree.
type Gateway struct {
	// Catalog holds the state that WriteState writes.
	Catalog *catalog.Catalog

	root         *suture.Supervisor
	callerServer *CallerServer
	log          *logrus.Entry
}

// Times of the supervisor tree.
const (
	// failureBackoff is the pause before the restart of a component that has failed repeatedly.
	failureBackoff = 500 * time.Millisecond
	// stopTimeout is how long the components may take to end when the tree stops.
	stopTimeout = 200 * time.Millisecond
)

// New returns a Gateway with two supervisors below the root: control runs the catalog, the mirror, the membership and
// the placer; traffic runs the components that serve requests and exchange usage. The operators' listener is directly below
// the root.
func New(components Components, log *logrus.Entry) *Gateway {
	spec := suture.Spec{FailureBackoff: failureBackoff, Timeout: stopTimeout, EventHook: func(event suture.Event) {
		log.WithFields(logrus.Fields(event.Map())).Warn("supervisor event")
	}}
	root := suture.New("gateway", spec)
	control := suture.New("control", spec)
	control.Add(supervised.Named("catalog", components.Catalog))
	control.Add(supervised.Named("mirror", components.Mirror))
	control.Add(supervised.Named("membership", components.Membership))
	control.Add(supervised.Named("placer", components.Placer))
	traffic := suture.New("traffic", spec)
	traffic.Add(supervised.Named("callers' listener", components.CallerServer))
	traffic.Add(supervised.Named("usage exchange", components.Exchange))
	traffic.Add(supervised.Named("prober", components.Prober))
	traffic.Add(supervised.Named("quarantine", components.Quarantine))
	traffic.Add(supervised.Named("idle connections", &idleCloser{client: components.Upstream, catalog: components.Catalog}))
	root.Add(control)
	root.Add(traffic)
	root.Add(supervised.Named("operators' listener", components.OperatorServer))
	return &Gateway{Catalog: components.Catalog, root: root, callerServer: components.CallerServer, log: log}
}

// Stop begins a graceful shutdown; a second call aborts the requests that remain.
func (g *Gateway) Stop() { g.callerServer.server.Stop() }

// Serve runs the tree until a graceful shutdown is complete, or until the context ends, which aborts every request.
func (g *Gateway) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "gateway")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-g.callerServer.server.Stopped():
		case <-ctx.Done():
		}
	}()
	if err = g.root.Serve(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// idleCheckInterval is the time between checks of the idle connections to backend servers.
const idleCheckInterval = time.Second

// idleCloser closes connections to backend servers that have been idle too long or whose server is no longer listed.
type idleCloser struct {
	client  *upstream.Client
	catalog *catalog.Catalog
}

// Serve checks the idle connections every idleCheckInterval until the context ends.
func (c *idleCloser) Serve(ctx context.Context) error {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			current := make(map[string]bool)
			for _, servers := range c.catalog.Snapshot().Servers {
				for _, server := range servers {
					current[server.Address] = true
				}
			}
			c.client.CloseIdle(now, func(address string) bool { return current[address] })
		}
	}
}

// Reload applies the log level of new settings and ignores the others. If err, the error of loading them, is not nil or the
// level is invalid, nothing changes.
func (g *Gateway) Reload(cfg settings.Gateway, err error) {
	if err != nil {
		g.log.WithError(err).Error("cannot reload the settings; the previous ones stay in force")
		return
	}
	level, err := logrus.ParseLevel(cfg.Log.Level)
	if err != nil {
		g.log.WithError(err).Error("invalid settings; the previous ones stay in force")
		return
	}
	g.log.Logger.SetLevel(level)
	g.log.WithField("level", level.String()).Info("log level reloaded; other settings need a restart")
}
