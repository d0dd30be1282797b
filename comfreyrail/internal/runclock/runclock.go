package runclock

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/holdup"
)

// Config configures a Clock.
type Config struct {
	// Elapsed returns the reading of a monotonic clock; nil means that of package time.
	Elapsed func() time.Duration
}

// Clock is a clock that stands still while this process is held up. Its methods may be called concurrently; nil is an ordinary clock.
type Clock struct {
	startedAt time.Time
	elapsed   func() time.Duration

	mu    sync.Mutex
	meter holdup.Meter
}

// New returns a Clock, which observes from now on whether the process runs.
func New(config Config) *Clock {
	c := &Clock{startedAt: time.Now(), elapsed: config.Elapsed}
	if c.elapsed == nil {
		c.elapsed = func() time.Duration { return time.Since(c.startedAt) }
	}
	go func() {
		for range time.Tick(holdup.Interval) {
			c.HeldUp()
		}
	}()
	return c
}

// Now returns the time. It must only be compared with other times of this Clock.
func (c *Clock) Now() time.Time {
	if c == nil {
		return time.Now()
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startedAt.Add(c.meter.Running(c.elapsed()))
}

// HeldUp returns for how long this process has been held up in all since New was called.
func (c *Clock) HeldUp() time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	now := c.elapsed()
	return now - c.meter.Running(now)
}

// start starts a timeout, which has no limit of its own with an ordinary clock.
func (c *Clock) start(d time.Duration) holdup.Timeout {
	if c == nil {
		return holdup.Timeout{}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.Start(c.elapsed(), d)
}

// left returns how long a timeout still lasts after its duration has passed.
func (c *Clock) left(t *holdup.Timeout) time.Duration {
	if c == nil {
		return 0
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.Left(c.elapsed(), t)
}

// Timer calls a function once a timeout has ended.
type Timer struct {
	clock   *Clock
	timeout holdup.Timeout
	f       func()

	mu    sync.Mutex
	timer *time.Timer
	over  bool // whether the timer was stopped or the function was called
}

// AfterFunc returns a Timer that calls f in a goroutine of its own after d.
func (c *Clock) AfterFunc(d time.Duration, f func()) *Timer {
	t := &Timer{clock: c, timeout: c.start(d), f: f}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer = time.AfterFunc(d, t.check)
	return t
}

// check calls the function if the timeout has ended, and otherwise waits for what is left.
func (t *Timer) check() {
	if t.isOver() {
		t.f()
	}
}

func (t *Timer) isOver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.over {
		return false
	}
	if left := t.clock.left(&t.timeout); left > 0 {
		t.timer.Reset(left)
		return false
	}
	t.over = true
	return true
}

// Stop prevents the call of the function. It returns false if the function has been called or Stop was called before.
func (t *Timer) Stop() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.timer.Stop()
	stopped := !t.over
	t.over = true
	return stopped
}

// timeoutContext is a context whose error is context.DeadlineExceeded if that is its cause.
type timeoutContext struct{ context.Context }

// Err returns nil while the context is not done, and then why it is.
func (c timeoutContext) Err() error {
	err := c.Context.Err()
	if err != nil && errors.Is(context.Cause(c.Context), context.DeadlineExceeded) {
		return context.DeadlineExceeded
	}
	return err
}

// WithTimeout returns a context that ends with context.DeadlineExceeded after d. The cancel function must be called to release it.
func (c *Clock) WithTimeout(parent context.Context, d time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	if c == nil {
		return context.WithTimeout(parent, d)
	}
	inner, cancelCause := context.WithCancelCause(parent)
	timer := c.AfterFunc(d, func() { cancelCause(context.DeadlineExceeded) })
	return timeoutContext{inner}, func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// Dialer returns a function that opens connections with a timeout.
func (c *Clock) Dialer(timeout time.Duration) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		ctx, cancel := c.WithTimeout(ctx, timeout)
		defer cancel()
		return new(net.Dialer).DialContext(ctx, network, address)
	}
}
