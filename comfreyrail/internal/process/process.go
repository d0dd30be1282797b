package process

import (
	"context"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/thejerf/suture/v4"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/admin"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/configsync"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/link"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/membership"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/probe"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/supervised"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/entry"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
)

// Process is an instance with its supervisor tree.
type Process struct {
	root    *suture.Supervisor
	callers *graceful.Server
	admin   *admin.Server
	log     *logrus.Entry

	// stopCalls is the number of calls of Stop.
	stopCalls atomic.Int32
	// forcedExit is closed when a forced stop times out.
	forcedExit chan struct{}
}

// Components holds the components that the supervisor tree runs.
type Components struct {
	// Control owns the state of the instance.
	Control *control.Control
	// ConfigSync keeps the tables current and accepts edits.
	ConfigSync *configsync.Sync
	// Membership keeps this incarnation registered and the list of members up to date.
	Membership *membership.Membership
	// PeerTransport makes and serves calls between instances.
	PeerTransport *peer.Transport
	// Link connects the calls between instances to the other components.
	Link *link.Link
	// Prober polls the status of the backend servers.
	Prober *probe.Prober
	// Claims commits claims of idempotency keys.
	Claims *claims.Claims
	// Lister reads the platform's list of instances.
	Lister *probe.Lister
	// CallerServer serves callers.
	CallerServer *entry.CallerServer
	// AdminServer serves operators.
	AdminServer *admin.Server
}

// New returns a Process. The components for the control state and for the traffic each have a supervisor of their own below the
// root.
func New(components Components, log *logrus.Entry) *Process {
	spec := suture.Spec{EventHook: func(event suture.Event) {
		log.WithFields(logrus.Fields(event.Map())).Warn("supervisor event")
	}}
	root := suture.New("root", spec)
	state := suture.New("control", spec)
	state.Add(supervised.Named("control state", components.Control))
	state.Add(supervised.Named("configuration", components.ConfigSync))
	state.Add(supervised.Named("membership", components.Membership))
	state.Add(supervised.Named("link", components.Link))
	state.Add(supervised.Named("prober", components.Prober))
	state.Add(supervised.Named("lister", components.Lister))
	traffic := suture.New("traffic", spec)
	traffic.Add(supervised.Named("claims", components.Claims))
	traffic.Add(supervised.Named("callers' listener", components.CallerServer))
	root.Add(state)
	root.Add(traffic)
	root.Add(supervised.Named("transport", components.PeerTransport))
	root.Add(supervised.Named("operators' listener", components.AdminServer))
	return &Process{
		root: root, callers: components.CallerServer.GracefulServer(), admin: components.AdminServer, log: log, forcedExit: make(chan struct{}),
	}
}

// Serve runs the supervisor tree until a graceful shutdown has ended, or until a forced stop has timed out or the
// context is done, both of which abort all requests in progress. It returns an AbortedRequestsError if the shutdown aborted
// requests; those aborted because the context is done are not reported.
func (p *Process) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "process")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-p.callers.Stopped():
		case <-p.forcedExit:
		case <-ctx.Done():
		}
	}()
	if err = p.root.Serve(ctx); ctx.Err() == nil {
		return err
	}
	if aborted := p.callers.AbortedRequests(); len(aborted) > 0 {
		return &AbortedRequestsError{Requests: aborted}
	}
	return nil
}
