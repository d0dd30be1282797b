package placer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of an instance's membership.
const (
	// memberTTL is how long an instance that ends without a notice stays listed. Instances that meet no answer do without it
	// long before that.
	memberTTL = 12 * time.Second
	// memberRenewInterval is the pause between renewals of an instance's lease.
	memberRenewInterval = 4 * time.Second
	// memberCheckInterval is the time between checks whether the store was restored.
	memberCheckInterval = 250 * time.Millisecond
	// memberRetryInterval is the pause after a failed attempt to renew or acquire the lease, so that an instance is listed
	// again soon after an outage of the store.
	memberRetryInterval = 1200 * time.Millisecond
)

// Membership keeps the record that lists this instance among the live ones, under a lease of its own.
type Membership struct {
	self  catalog.Instance
	lease *lease
}

// NewMembership returns a Membership of the instance, whose record is not in the store before Serve is called.
func NewMembership(self catalog.Instance, config LeaseConfig) *Membership {
	return &Membership{self: self, lease: &lease{config: config, ttl: memberTTL}}
}

// Serve acquires the lease and renews it until the context ends or Release is called.
func (m *Membership) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.renewOrAcquire(ctx)
		if err == nil {
			m.waitForRenewal(ctx)
			continue
		}
		if ctx.Err() == nil {
			m.lease.config.Log.WithError(err).Warn("cannot renew or acquire the lease")
		}
		_ = pause.For(ctx, memberRetryInterval)
	}
	return ctx.Err()
}

// Release removes the record for good.
func (m *Membership) Release(ctx context.Context) { m.lease.release(ctx) }

// renewOrAcquire renews the lease, or acquires a new one if there is none or it has ended. After Release it does nothing.
func (m *Membership) renewOrAcquire(ctx context.Context) error {
	known, released := m.lease.current()
	if released {
		return nil
	}
	if known.ID != 0 {
		err := m.lease.renew(ctx)
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		m.lease.config.Log.WithField("lease", known.ID).Warn("the lease has expired; acquiring a new one")
	}
	value, err := m.self.Encode()
	if err != nil {
		return err
	}
	return m.lease.acquire(ctx, func(granted store.Lease) (store.Transaction, error) {
		return store.Transaction{Writes: []store.Write{{Key: catalog.InstancePrefix + m.self.Name, Value: value, Lease: granted.ID}}}, nil
	})
}

// waitForRenewal waits for memberRenewInterval. It returns earlier if the store is restored, which may lose the record.
func (m *Membership) waitForRenewal(ctx context.Context) {
	known, _ := m.lease.current()
	for start := time.Now(); ctx.Err() == nil && time.Since(start) < memberRenewInterval && !m.lease.isOutdated(known); {
		_ = pause.For(ctx, memberCheckInterval)
	}
}
