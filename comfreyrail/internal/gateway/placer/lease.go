package placer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of keeping the lease.
const (
	// leaseTTL is the time after which the lease expires unless it is renewed.
	leaseTTL = 4 * time.Second
	// renewInterval is the pause between attempts to renew or acquire the lease.
	renewInterval = 1200 * time.Millisecond
	// expiryMargin is how long before its expiry a lease no longer counts as held.
	expiryMargin = time.Second
	// callTimeout is the timeout of acquiring, renewing and revoking the lease, and of an attempt to become the placer.
	callTimeout = time.Second
)

// LeaseKeeperConfig configures a LeaseKeeper.
type LeaseKeeperConfig struct {
	// Self is the record of this instance, which is stored under the lease.
	Self catalog.Instance
	// Grant creates a lease with the given time to live.
	Grant func(ctx context.Context, ttl time.Duration) (store.Lease, error)
	// Renew restarts the time to live of a lease. It returns store.ErrNotFound if the lease has ended.
	Renew func(ctx context.Context, id uint64) error
	// Revoke ends a lease.
	Revoke func(ctx context.Context, id uint64) error
	// Commit commits a transaction and returns its revision.
	Commit func(ctx context.Context, transaction store.Transaction) (uint64, error)
	// Elapsed returns the reading of a monotonic clock that includes the time that the machine is suspended.
	Elapsed func() time.Duration
	// Log is the logger.
	Log *logrus.Entry
}

// LeaseKeeper keeps the lease of this instance and the record that lists it among the live instances.
type LeaseKeeper struct {
	config LeaseKeeperConfig

	mu       sync.Mutex
	id       uint64
	expiry   time.Duration
	released bool
}

// NewLeaseKeeper returns a LeaseKeeper without a lease; Serve acquires one.
func NewLeaseKeeper(config LeaseKeeperConfig) *LeaseKeeper { return &LeaseKeeper{config: config} }

// Held returns the ID of the lease, and false if the lease may have expired or was released.
func (k *LeaseKeeper) Held() (id uint64, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.id, k.id != 0 && !k.released && k.config.Elapsed() < k.expiry-expiryMargin
}

// Serve acquires the lease and renews it until the context ends or Release is called.
func (k *LeaseKeeper) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := k.renewOrAcquire(ctx); err != nil && ctx.Err() == nil {
			k.config.Log.WithError(err).Warn("cannot renew or acquire the lease")
		}
		_ = pause.For(ctx, renewInterval)
	}
	return ctx.Err()
}

// renewOrAcquire renews the lease, or acquires a new one if there is none or it has ended. After Release it does nothing.
func (k *LeaseKeeper) renewOrAcquire(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	k.mu.Lock()
	id, released := k.id, k.released
	k.mu.Unlock()
	if released {
		return nil
	}
	start := k.config.Elapsed()
	if id != 0 {
		err = k.config.Renew(ctx, id)
		if err == nil {
			k.set(id, start+leaseTTL)
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		k.config.Log.WithField("lease", id).Warn("the lease has expired; acquiring a new one")
		k.set(0, 0)
	}
	granted, err := k.config.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := k.config.Self.Encode()
	if err != nil {
		return err
	}
	record := store.Write{Key: catalog.InstancePrefix + k.config.Self.Name, Value: value, Lease: granted.ID}
	if _, err = k.config.Commit(ctx, store.Transaction{Writes: []store.Write{record}}); err != nil {
		return err
	}
	k.set(granted.ID, start+granted.TTL)
	return nil
}

func (k *LeaseKeeper) set(id uint64, expiry time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.id, k.expiry = id, expiry
}

// Release ends the lease for good, so that another instance can take over the placer role at once.
func (k *LeaseKeeper) Release(ctx context.Context) {
	k.mu.Lock()
	id := k.id
	k.released = true
	k.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := k.config.Revoke(ctx, id); err != nil {
		k.config.Log.WithError(err).Warn("cannot revoke the lease; it will expire")
	}
}
