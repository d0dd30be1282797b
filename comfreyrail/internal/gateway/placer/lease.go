package placer

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of leases.
const (
	// expiryMargin is how long before its expiry a lease no longer counts as held.
	expiryMargin = time.Second
	// callTimeout is the timeout of acquiring, renewing and revoking a lease.
	callTimeout = time.Second
)

// LeaseConfig configures the leases of an instance.
type LeaseConfig struct {
	// Grant creates a lease with the given time to live.
	Grant func(ctx context.Context, ttl time.Duration) (store.Lease, error)
	// Renew restarts the time to live of a lease and returns the era of the store, zero if unknown. It returns store.ErrNotFound if
	// there is no such lease.
	Renew func(ctx context.Context, id uint64) (era uint64, err error)
	// Revoke ends a lease.
	Revoke func(ctx context.Context, id uint64) error
	// Commit commits a transaction and returns the era of the store, zero if unknown.
	Commit func(ctx context.Context, transaction store.Transaction) (era uint64, err error)
	// Era returns the last known era of the store, zero if unknown; nil means that the era never changes.
	Era func() uint64
	// Elapsed returns the reading of a monotonic clock that includes the time that the machine is suspended.
	Elapsed func() time.Duration
	// Clock is the clock of the timeouts of calls; nil means an ordinary one.
	Clock *runclock.Clock
	// Log is the logger.
	Log *logrus.Entry
}

// lease is a lease in the store with what this instance knows of it. Its methods may be called concurrently.
type lease struct {
	config LeaseConfig
	ttl    time.Duration

	mu       sync.Mutex
	granted  store.Lease   // its ID is zero if there is none
	expiry   time.Duration // reading of config.Elapsed at which the lease ends unless it is renewed
	released bool
}

// held returns the ID of the lease, and false if the lease may have ended or was released.
func (l *lease) held() (id uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted.ID, l.granted.ID != 0 && !l.released && !l.isOutdated(l.granted) && l.config.Elapsed() < l.expiry-expiryMargin
}

// current returns the lease as the store granted it, with ID zero if there is none, and whether it was released for good.
func (l *lease) current() (granted store.Lease, released bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.granted, l.released
}

// isOutdated reports whether the store was restored since it granted a lease. It may then give the ID of the lease to another
// instance.
func (l *lease) isOutdated(granted store.Lease) bool {
	return l.config.Era != nil && granted.ID != 0 && granted.IsOutdated(l.config.Era())
}

func (l *lease) set(granted store.Lease, expiry time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.granted, l.expiry = granted, expiry
}

// renew renews the lease. If the lease has ended or is of an earlier era, it returns store.ErrNotFound and there is no lease any more.
func (l *lease) renew(ctx context.Context) error {
	renewed, _ := l.current()
	if l.isOutdated(renewed) {
		l.set(store.Lease{}, 0)
		return store.ErrNotFound
	}
	ctx, cancel := l.config.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := l.config.Elapsed()
	era, err := l.config.Renew(ctx, renewed.ID)
	if err == nil && renewed.IsOutdated(era) {
		err = store.ErrNotFound
	}
	switch {
	case err == nil:
		l.set(renewed, start+l.ttl)
	case errors.Is(err, store.ErrNotFound):
		l.set(store.Lease{}, 0)
	}
	return err
}

// acquire creates a lease and commits the transaction that uses it. If the transaction fails, the lease is left to expire. If the
// commit states another era than the lease, acquire returns store.ErrRestored; the transaction was then executed.
func (l *lease) acquire(ctx context.Context, transaction func(granted store.Lease) (store.Transaction, error)) error {
	return l.acquireUnlessNotExecuted(ctx, transaction, func(error) bool { return true })
}

// acquireUnlessNotExecuted is like acquire, but if the transaction fails and may have been executed, it keeps the lease.
// notExecuted reports whether an error means that the transaction was certainly not executed.
func (l *lease) acquireUnlessNotExecuted(
	ctx context.Context, transaction func(granted store.Lease) (store.Transaction, error), notExecuted func(error) bool,
) error {
	ctx, cancel := l.config.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	start := l.config.Elapsed()
	granted, err := l.config.Grant(ctx, l.ttl)
	if err != nil {
		return err
	}
	content, err := transaction(granted)
	if err != nil {
		return err
	}
	era, err := l.config.Commit(ctx, content)
	if err == nil && granted.IsOutdated(era) {
		return store.ErrRestored
	}
	if err == nil || !notExecuted(err) {
		l.set(granted, start+granted.TTL)
	}
	return err
}

// release ends the lease for good. A lease of an earlier era is not revoked, because the store may have given its ID to another
// instance.
func (l *lease) release(ctx context.Context) {
	l.mu.Lock()
	granted := l.granted
	l.granted, l.released = store.Lease{}, true
	l.mu.Unlock()
	if granted.ID == 0 || l.isOutdated(granted) {
		return
	}
	ctx, cancel := l.config.Clock.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.config.Revoke(ctx, granted.ID); err != nil {
		l.config.Log.WithError(err).Warn("cannot revoke the lease; it will expire")
	}
}
