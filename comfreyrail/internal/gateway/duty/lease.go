package duty

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

// Times of the lease.
const (
	// leaseTTL is the time after which the lease ends unless it is renewed.
	leaseTTL = 4 * time.Second
	// renewEvery is the time between renewals.
	renewEvery = 1200 * time.Millisecond
	// leaseMargin is how long before its end a lease is no longer relied on.
	leaseMargin = time.Second
	// callTimeout is the longest time for one call to the store.
	callTimeout = time.Second
)

// LeaseConfig configures a Lease.
type LeaseConfig struct {
	// Self is the record of this instance.
	Self catalog.Instance
	// Grant creates a lease.
	Grant func(ctx context.Context, ttl time.Duration) (store.Lease, error)
	// Renew extends a lease.
	Renew func(ctx context.Context, id uint64) error
	// Revoke ends a lease.
	Revoke func(ctx context.Context, id uint64) error
	// Commit carries out a transaction.
	Commit func(ctx context.Context, transaction store.Transaction) (uint64, error)
	// Elapsed is a clock that goes on while the machine is suspended.
	Elapsed func() time.Duration
	// Log receives the log.
	Log *logrus.Entry
}

// Lease keeps the lease of this instance and its record among the instances.
type Lease struct {
	config LeaseConfig

	mu    sync.Mutex
	id    uint64
	until time.Duration
	ended bool
}

// NewLease returns a Lease that is not held yet.
func NewLease(config LeaseConfig) *Lease { return &Lease{config: config} }

// Held returns the lease, and false if it may have ended.
func (l *Lease) Held() (id uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.id, l.id != 0 && !l.ended && l.config.Elapsed() < l.until-leaseMargin
}

// Serve keeps the lease until the context ends.
func (l *Lease) Serve(ctx context.Context) error {
	for ctx.Err() == nil {
		if err := l.step(ctx); err != nil && ctx.Err() == nil {
			l.config.Log.WithError(err).Warn("the lease was not renewed")
		}
		_ = pause.For(ctx, renewEvery)
	}
	return ctx.Err()
}

// step renews the lease, or takes a new one.
func (l *Lease) step(ctx context.Context) (err error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	l.mu.Lock()
	id, ended := l.id, l.ended
	l.mu.Unlock()
	if ended {
		return nil
	}
	began := l.config.Elapsed()
	if id != 0 {
		err = l.config.Renew(ctx, id)
		if err == nil {
			l.extend(id, began+leaseTTL)
			return nil
		}
		if !errors.Is(err, store.ErrNotFound) {
			return err
		}
		l.config.Log.WithField("lease", id).Warn("the lease has ended: taking a new one")
		l.extend(0, 0)
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
	l.extend(granted.ID, began+granted.TTL)
	return nil
}

func (l *Lease) extend(id uint64, until time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.id, l.until = id, until
}

// Release ends the lease for good, so that the duties of this instance pass on at once.
func (l *Lease) Release(ctx context.Context) {
	l.mu.Lock()
	id := l.id
	l.ended = true
	l.mu.Unlock()
	if id == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := l.config.Revoke(ctx, id); err != nil {
		l.config.Log.WithError(err).Warn("the lease was not ended: it lapses by itself")
	}
}
