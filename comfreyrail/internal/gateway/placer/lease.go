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

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	// Self is the record of this instance, which is stored under the lease.
	Self catalog.Instance
	// Grant creates a lease with the given time to live.
	Grant func(ctx context.Context, ttl time.Duration) (store.Lease, error)
	// Renew extends a lease; it returns store.ErrNotFound if the lease has ended.
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

// Lease keeps the lease of this instance and the record that lists it among the live instances.
type Lease struct {
	config LeaseConfig

	mu       sync.Mutex
	id       uint64
	expiry   time.Duration
	released bool
}

// NewLease returns a Lease that Serve has yet to acquire.
func NewLease(config LeaseConfig) *Lease { return &Lease{config: config} }

// Held returns the ID of the lease, and false if the lease may have expired or was released.
func (l *Lease) Held() (id uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && !l.released && l.config.Elapsed() < l.expiry-expiryMargin
}

// Serve acquires the lease and renews it until the context ends or Release is called.
func (l *Lease) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.renewOrAcquire(ctx); err != nil && ctx.Err() == nil {
			l.config.Log.WithError(err).Warn("cannot renew or acquire the lease")
		}
		_ = pause.For(ctx, renewInterval)
	}
	return ctx.Err()
}

// renewOrAcquire renews the lease, or acquires a new one if there is none or it has expired. After Release it does nothing.
func (l *Lease) renewOrAcquire(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	id, released := l.id, l.released
	l.mu.Unlock()
	if released {
		return nil
	}
	start := l.config.Elapsed()
	if id != 0 {
		err = l.config.Renew(ctx, id)
		if err == nil {
			l.set(id, start+leaseTTL)
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		l.config.Log.WithField("lease", id).Warn("the lease has expired; acquiring a new one")
		l.set(0, 0)
	}
	granted, err := l.config.Grant(ctx, leaseTTL)
	if err != nil {
		return err
	}
	value, err := l.config.Self.Encode()
	if err != nil {
		return err
	}
	record := store.Write{Key: catalog.InstancePrefix + l.config.Self.Name, Value: value, Lease: granted.ID}
	if _, err = l.config.Commit(ctx, store.Transaction{Writes: []store.Write{record}}); err != nil {
		return err
	}
	l.set(granted.ID, start+granted.TTL)
	return nil
}

func (l *Lease) set(id uint64, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.expiry = id, expiry
}

// Release ends the lease for good, so that another instance can take over the placer role at once.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	id := l.id
	l.released = true
	l.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.config.Revoke(ctx, id); err != nil {
		l.config.Log.WithError(err).Warn("cannot revoke the lease; it will expire")
	}
}
