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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/entry"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/graceful"
)

// Process is the root of the supervisor tree.
type Process struct {
	root    *suture.Supervisor
	callers *graceful.Server
	admin   *admin.Server
	log     *logrus.Entry

	asked  atomic.Int32
	forced chan struct{}
}

// Services are the services below the root.
type Services struct {
	// Control owns the state.
	Control *control.Control
	// ConfigSync reads the tables.
	ConfigSync *configsync.Sync
	// Membership keeps the view of the fleet.
	Membership *membership.Membership
	// PeerTransport carries calls between instances.
	PeerTransport *peer.Transport
	// Link joins the calls between instances.
	Link *link.Link
	// Prober asks the backend servers for their status.
	Prober *probe.Prober
	// Claims commits the claims of idempotency keys.
	Claims *claims.Claims
	// Lister reads the platform's list of instances.
	Lister *probe.Lister
	// CallerServer serves callers.
	CallerServer *entry.CallerServer
	// AdminServer serves operators.
	AdminServer *admin.Server
}

// New returns a Process with the branches under supervisors of their own.
func New(branches Services, log *logrus.Entry) *Process {
	spec := suture.Spec{EventHook: func(event suture.Event) {
		log.WithFields(logrus.Fields(event.Map())).Warn("supervisor event")
	}}
	root := suture.New("root", spec)
	state := suture.New("control", spec)
	state.Add(branches.Control)
	state.Add(branches.ConfigSync)
	state.Add(branches.Membership)
	state.Add(branches.Link)
	state.Add(branches.Prober)
	state.Add(branches.Lister)
	traffic := suture.New("traffic", spec)
	traffic.Add(branches.Claims)
	traffic.Add(branches.CallerServer)
	root.Add(state)
	root.Add(traffic)
	root.Add(branches.PeerTransport)
	root.Add(branches.AdminServer)
	return &Process{
		root: root, callers: branches.CallerServer.GracefulServer(), admin: branches.AdminServer, log: log, forced: make(chan struct{}),
	}
}

// Serve runs the tree until a planned stop has ended, or until the context ends, which cuts every request.
func (p *Process) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "process")
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		defer cancel()
		select {
		case <-p.callers.Stopped():
		case <-p.forced:
		case <-ctx.Done():
		}
	}()
	if err = p.root.Serve(ctx); ctx.Err() == nil {
		return err
	}
	if cut := p.callers.CutRequests(); len(cut) > 0 {
		return &CutRequestsError{Requests: cut}
	}
	return nil
}
