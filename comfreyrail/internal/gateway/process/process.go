package process

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/duty"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/mirror"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/usage"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
)

// Components are the services below the root.
type Components struct {
	// Catalog reads the store.
	Catalog *catalog.Catalog
	// Lease keeps the lease of this instance.
	Lease *duty.Lease
	// Placer gives engines their layers.
	Placer *duty.Placer
	// Mirror tells other instances what the store says.
	Mirror *mirror.Server
	// Exchange tells other instances of the work of this one.
	Exchange *usage.Exchange
	// Prober asks engines for their speed.
	Prober *forward.Prober
	// Upstream keeps connections to backend servers.
	Upstream *upstream.Pool
	// CallerServer serves callers.
	CallerServer *CallerServer
	// OperatorServer serves operators and the balancer.
	OperatorServer *OperatorServer
}

// Gateway is the root of the supervisor tree.
type Gateway struct {
	// Catalog holds the state.
	Catalog *catalog.Catalog

	root  *suture.Supervisor
	entry *CallerServer
	log   *logrus.Entry
}

// Times of the tree.
const (
	// failureBackoff is the pause after a service has failed repeatedly.
	failureBackoff = 500 * time.Millisecond
	// stopTimeout is how long the services may take to end.
	stopTimeout = 200 * time.Millisecond
	// keepEvery is the time between two looks at idle connections.
	keepEvery = time.Second
)

// New returns a Gateway with the branches under supervisors of their own.
func New(branches Components, log *logrus.Entry) *Gateway {
	spec := suture.Spec{FailureBackoff: failureBackoff, Timeout: stopTimeout, EventHook: func(event suture.Event) {
		log.WithFields(logrus.Fields(event.Map())).Warn("supervisor event")
	}}
	root := suture.New("gateway", spec)
	control := suture.New("control", spec)
	control.Add(branches.Catalog)
	control.Add(branches.Mirror)
	control.Add(branches.Lease)
	control.Add(branches.Placer)
	traffic := suture.New("traffic", spec)
	traffic.Add(branches.CallerServer)
	traffic.Add(branches.Exchange)
	traffic.Add(branches.Prober)
	traffic.Add(&keeper{pool: branches.Upstream, catalog: branches.Catalog})
	root.Add(control)
	root.Add(traffic)
	root.Add(branches.OperatorServer)
	return &Gateway{Catalog: branches.Catalog, root: root, entry: branches.CallerServer, log: log}
}

// Stop asks for the planned stop; asked again, it cuts what is left.
func (g *Gateway) Stop() { g.entry.server.Stop() }

// Serve runs the tree until a planned stop has ended, or until the context ends, which cuts every request.
func (g *Gateway) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "gateway")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-g.entry.server.Stopped():
		case <-ctx.Done():
		}
	}()
	if err = g.root.Serve(ctx); ctx.Err() == nil {
		return err
	}
	return nil
}

// keeper closes idle connections that are due.
type keeper struct {
	pool    *upstream.Pool
	catalog *catalog.Catalog
}

// Serve looks at the idle connections until the context ends.
func (k *keeper) Serve(ctx context.Context) error {
	ticker := time.NewTicker(keepEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-ticker.C:
			wanted := make(map[string]bool)
			for _, servers := range k.catalog.Snapshot().Servers {
				for _, server := range servers {
					wanted[server.Address] = true
				}
			}
			k.pool.CloseIdle(now, func(address string) bool { return wanted[address] })
		}
	}
}

// Reload takes the level of the log from new settings; settings that are invalid change nothing.
func (g *Gateway) Reload(loaded settings.Gateway, err error) {
	if err != nil {
		g.log.WithError(err).Error("settings refused: the ones before stay in force")
		return
	}
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		g.log.WithError(err).Error("settings refused: the ones before stay in force")
		return
	}
	g.log.Logger.SetLevel(level)
	g.log.WithField("level", level.String()).Info("settings reloaded")
}
