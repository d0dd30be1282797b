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
	admin   *admin.Admin
	log     *logrus.Entry

	asked  atomic.Int32
	forced chan struct{}
}

// Branches are the services below the root.
type Branches struct {
	// Control owns the state.
	Control *control.Control
	// Sync reads the tables.
	Sync *configsync.Sync
	// Membership keeps the view of the fleet.
	Membership *membership.Membership
	// Peers carries calls between instances.
	Peers *peer.Transport
	// Link joins the calls between instances.
	Link *link.Link
	// Prober asks the backend servers for their status.
	Prober *probe.Prober
	// Claims commits the claims of idempotency keys.
	Claims *claims.Claims
	// Lister reads the platform's list of instances.
	Lister *probe.Lister
	// Entry serves callers.
	Entry *entry.Entry
	// Admin serves operators.
	Admin *admin.Admin
}

// New returns a Process with the branches under supervisors of their own.
func New(branches Branches, log *logrus.Entry) *Process {
	spec := suture.Spec{EventHook: func(event suture.Event) {
		log.WithFields(logrus.Fields(event.Map())).Warn("supervisor event")
	}}
	root := suture.New("root", spec)
	state := suture.New("control", spec)
	state.Add(branches.Control)
	state.Add(branches.Sync)
	state.Add(branches.Membership)
	state.Add(branches.Link)
	state.Add(branches.Prober)
	state.Add(branches.Lister)
	traffic := suture.New("traffic", spec)
	traffic.Add(branches.Claims)
	traffic.Add(branches.Entry)
	root.Add(state)
	root.Add(traffic)
	root.Add(branches.Peers)
	root.Add(branches.Admin)
	return &Process{
		root: root, callers: branches.Entry.Server(), admin: branches.Admin, log: log, forced: make(chan struct{}),
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
	if cut := p.callers.Cut(); len(cut) > 0 {
		return &CutError{Requests: cut}
	}
	return nil
}
