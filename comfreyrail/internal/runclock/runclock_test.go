package runclock

import (
	"context"
	"errors"
	"sync/atomic"
	"testing"
	"time"
)

// jumpingClock returns a Clock that can be moved ahead, as a hold-up does with that of a process.
func jumpingClock() (c *Clock, jump func(d time.Duration)) {
	startedAt := time.Now()
	var ahead atomic.Int64
	c = New(Config{Elapsed: func() time.Duration { return time.Since(startedAt) + time.Duration(ahead.Load()) }})
	return c, func(d time.Duration) { ahead.Add(int64(d)) }
}

// Guards against a call being given up because this process did not run.
func TestTimeoutLeavesOutHoldUp(t *testing.T) {
	c, jump := jumpingClock()
	ctx, cancel := c.WithTimeout(context.Background(), 400*time.Millisecond)
	defer cancel()
	c.HeldUp()
	jump(time.Second)
	time.Sleep(100 * time.Millisecond)
	if err := ctx.Err(); err != nil {
		t.Errorf("got %v after a hold-up, want a context that goes on", err)
	}
	select {
	case <-ctx.Done():
	case <-time.After(5 * time.Second):
	}
	if err := ctx.Err(); !errors.Is(err, context.DeadlineExceeded) {
		t.Errorf("got %v at the end, want %v", err, context.DeadlineExceeded)
	}
}

// Guards against a canceled call that looks like one which has reached its timeout.
func TestCanceledBeforeTimeout(t *testing.T) {
	parent, cancelParent := context.WithCancel(context.Background())
	ctx, cancel := New(Config{}).WithTimeout(parent, time.Minute)
	defer cancel()
	cancelParent()
	<-ctx.Done()
	if err := ctx.Err(); !errors.Is(err, context.Canceled) {
		t.Errorf("got %v, want %v", err, context.Canceled)
	}
}

// Guards against a function being called although Stop returned true.
func TestStopPreventsCall(t *testing.T) {
	var calls atomic.Int32
	c := New(Config{})
	timer := c.AfterFunc(20*time.Millisecond, func() { calls.Add(1) })
	if got := timer.Stop(); !got {
		t.Error("got false of Stop before the end, want true")
	}
	time.Sleep(60 * time.Millisecond)
	if got := calls.Load(); got != 0 {
		t.Errorf("got %d calls, want none", got)
	}
	late := c.AfterFunc(time.Millisecond, func() { calls.Add(1) })
	for end := time.Now().Add(5 * time.Second); calls.Load() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if got := late.Stop(); got || calls.Load() != 1 {
		t.Errorf("got %v of Stop and %d calls after the end, want false and 1", got, calls.Load())
	}
}
