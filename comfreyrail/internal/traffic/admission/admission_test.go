package admission

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// newAdmission returns an Admission with a queue of 20 requests and a state without tables.
func newAdmission(maxRunning int) *Admission {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	checker := new(invariant.Checker)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: checker})
	return New(Config{
		Control: state, MaxRunning: maxRunning, MaxQueued: 20, Seed: 1, Checker: checker,
	})
}

// TestAdmitLimitsRunning checks that no more requests run at once than allowed, that all of them run in the end, and that
// the controller of a pool that isn't in the tables is removed afterwards.
func TestAdmitLimitsRunning(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		admission := newAdmission(2)
		var mu sync.Mutex
		running, maxRunning, done := 0, 0, 0
		var wait sync.WaitGroup
		for i := range 10 {
			wait.Go(func() {
				finish, err := admission.Admit(t.Context(), Request{ID: fmt.Sprint(i), Pool: "pool"})
				if err != nil {
					t.Errorf("request %d: got error %v, want none", i, err)
					return
				}
				mu.Lock()
				running++
				maxRunning = max(maxRunning, running)
				mu.Unlock()
				time.Sleep(time.Second)
				mu.Lock()
				running--
				done++
				mu.Unlock()
				finish(true)
			})
		}
		wait.Wait()
		if maxRunning != 2 || done != 10 {
			t.Errorf("maximum number in progress and number done: got %d and %d, want 2 and 10", maxRunning, done)
		}
		if got, want := len(admission.controllers), 0; got != want {
			t.Errorf("controllers of pools not in the tables at the end: got %d, want %d", got, want)
		}
	})
}

// TestAdmitFailures checks that a request that isn't admitted fails as not run, and that RetryAfter is set on overload
// only.
func TestAdmitFailures(t *testing.T) {
	cases := []struct {
		name           string
		deadline       time.Duration
		cancelAfter    time.Duration
		waiting        int
		want           outcome.Code
		wantRetryAfter bool
	}{
		{name: "queue is full", deadline: time.Hour, waiting: 20, want: outcome.CodeOverload, wantRetryAfter: true},
		{name: "deadline passes", deadline: 3 * time.Second, want: outcome.CodeOverload, wantRetryAfter: true},
		{name: "caller disconnects", deadline: time.Hour, cancelAfter: time.Second, want: outcome.CodeCaller},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				admission := newAdmission(1)
				background, stop := context.WithCancel(t.Context())
				defer stop()
				for i := range 1 + c.waiting {
					go func() { _, _ = admission.Admit(background, Request{ID: fmt.Sprint(i), Pool: "pool"}) }()
				}
				synctest.Wait()
				ctx, cancel := context.WithTimeout(t.Context(), c.deadline)
				defer cancel()
				if c.cancelAfter > 0 {
					time.AfterFunc(c.cancelAfter, cancel)
				}
				_, err := admission.Admit(ctx, Request{ID: "last", Pool: "pool"})
				var failure *outcome.Failure
				if !errors.As(err, &failure) {
					t.Fatalf("error: got %v, want a failure", err)
				}
				if failure.Code != c.want || failure.Outcome != outcome.NotRun || (failure.RetryAfter > 0) != c.wantRetryAfter {
					t.Errorf("failure: got %+v, want code %s, not run, retry after %v", failure, c.want, c.wantRetryAfter)
				}
			})
		})
	}
}
