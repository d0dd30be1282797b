package runclock

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/holdup"
)

// clock is a holdup.Meter that is safe for concurrent use.
type clock struct {
	startedAt time.Time
	now       func() time.Duration
	mu        sync.Mutex
	meter     holdup.Meter
}

// process returns the clock of this process, and starts the observations at its first call.
var process = sync.OnceValue(func() *clock {
	startedAt := time.Now()
	c := &clock{startedAt: startedAt, now: func() time.Duration { return time.Since(startedAt) }}
	go c.observe()
	return c
})

// observe observes for ever that the process runs.
func (c *clock) observe() {
	for range time.Tick(holdup.Interval) {
		c.running()
	}
}

func (c *clock) running() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.Running(c.now())
}

func (c *clock) start(d time.Duration) holdup.Timeout {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.Start(c.now(), d)
}

func (c *clock) left(t *holdup.Timeout) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.meter.Left(c.now(), t)
}

// Now returns a time that does not go on while this process is held up. It must only be compared with other times of this clock.
func Now() time.Time {
	c := process()
	return c.startedAt.Add(c.running())
}

// Timer calls a function once a timeout has ended.
type Timer struct {
	clock   *clock
	timeout holdup.Timeout
	f       func()

	mu    sync.Mutex
	timer *time.Timer
	over  bool // whether the timer was stopped or the function was called
}

// AfterFunc returns a Timer that calls f in a goroutine of its own once this process has run for d.
func AfterFunc(d time.Duration, f func()) *Timer { return process().afterFunc(d, f) }

func (c *clock) afterFunc(d time.Duration, f func()) *Timer {
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

// WithTimeout returns a context that ends with context.DeadlineExceeded once this process has run for d. The cancel function must be
// called to release it.
func WithTimeout(parent context.Context, d time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	return process().withTimeout(parent, d)
}

func (c *clock) withTimeout(parent context.Context, d time.Duration) (ctx context.Context, cancel context.CancelFunc) {
	inner, cancelCause := context.WithCancelCause(parent)
	timer := c.afterFunc(d, func() { cancelCause(context.DeadlineExceeded) })
	return timeoutContext{inner}, func() {
		timer.Stop()
		cancelCause(nil)
	}
}
