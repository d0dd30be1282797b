package placer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of the placer role.
const (
	// roleTTL is how long the role stays taken after its holder has ended without a notice.
	roleTTL = 4 * time.Second
	// roleRenewInterval is the time between two renewals of the role's lease.
	roleRenewInterval = 1200 * time.Millisecond
	// roleRetryDelay is the time from an attempt to become the placer that another instance forestalled to the next one.
	roleRetryDelay = time.Second
)

// meanCandidates is the mean number of instances that try to become the placer at each check while there is none. More
// would only cause conflicting calls to the store.
const meanCandidates = 2.0

// checkRole reports whether this instance is the placer, and renews the lease of the role if it is due. If there is no placer,
// it may try to become the placer.
func (p *Placer) checkRole(ctx context.Context) bool {
	snapshot := p.config.Catalog.Snapshot()
	p.renewRole(ctx)
	id, held := p.role.held()
	hasRole := held && snapshot.Placer.Revision != 0 && snapshot.Placer.Lease == id
	if hasRole != p.hasRole {
		p.hasRole = hasRole
		p.config.Log.WithField("held", hasRole).WithField("lease", id).Info("placer role changed")
	}
	if !p.isTaken(snapshot.Placer) && snapshot.Index != nil && p.isCandidate(time.Now()) {
		p.acquireRole(ctx)
	}
	return hasRole
}

// isTaken reports whether the placer's item shows that an instance has the role. An item without a lease does not count: no instance
// writes one, and it would never expire. An item that names this instance counts only while this instance holds the lease.
func (p *Placer) isTaken(item store.Item) bool {
	_, held := p.role.held()
	return item.Revision != 0 && item.Lease != 0 && (held || string(item.Value) != p.config.Name)
}

// renewRole renews the lease of the role if this instance has one and the last renewal was roleRenewInterval ago.
func (p *Placer) renewRole(ctx context.Context) {
	known, released := p.role.current()
	if known.ID == 0 || released || time.Since(p.roleRenewedAt) < roleRenewInterval {
		return
	}
	p.roleRenewedAt = time.Now()
	if err := p.role.renew(ctx); err != nil && ctx.Err() == nil {
		p.config.Log.WithError(err).WithField("lease", known.ID).Warn("cannot renew the lease of the placer role")
	}
}

// isCandidate reports whether this instance is one of the few, drawn at random, that try to become the placer now.
func (p *Placer) isCandidate(now time.Time) bool {
	instances := float64(len(p.config.Catalog.Snapshot().Instances))
	_, released := p.role.current()
	return !released && now.After(p.nextRoleAttempt) && p.config.Random()*instances < meanCandidates
}

// acquireRole writes the placer's item under a new lease unless the item has changed in the meantime. It is tried again after
// roleRetryDelay if the item was certainly not written or the store was restored, otherwise after roleTTL, when the catalog must show
// the item.
func (p *Placer) acquireRole(ctx context.Context) {
	p.nextRoleAttempt = time.Now().Add(roleTTL)
	p.roleRenewedAt = time.Now()
	known := p.config.Catalog.Snapshot()
	err := p.role.acquireUnlessNotExecuted(ctx, func(granted store.Lease) (store.Transaction, error) {
		if !store.SameEra(granted.Era, known.Era) {
			return store.Transaction{}, store.ErrRestored // the known revision is of another era
		}
		return store.Transaction{
			Conditions: []store.Condition{{Key: catalog.PlacerKey, Revision: known.Placer.Revision}},
			Writes:     []store.Write{{Key: catalog.PlacerKey, Value: []byte(p.config.Name), Lease: granted.ID}},
		}, nil
	}, notExecuted)
	if notExecuted(err) || errors.Is(err, store.ErrRestored) {
		p.nextRoleAttempt = time.Now().Add(roleRetryDelay)
	}
	if err != nil && !errors.Is(err, store.ErrConflict) {
		p.config.Log.WithError(err).Info("cannot acquire the placer role")
	}
}

// notExecuted reports whether the error of a transaction means that the store has not executed it and never will.
func notExecuted(err error) bool {
	return errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrUnavailable) || errors.Is(err, store.ErrThrottled)
}

// Release gives up the placer role for good, so that another instance can take it over at once.
func (p *Placer) Release(ctx context.Context) { p.role.release(ctx) }
