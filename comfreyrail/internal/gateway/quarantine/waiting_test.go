package quarantine

import (
	"context"
	"sync"
	"syscall"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Guards against a request that goes on waiting at an engine, and crashes it, after its part has become known as poisoned, and against
// sound requests being withdrawn with it.
func TestWaitingRequestsAreWithdrawn(t *testing.T) {
	k := newKeeper(t, new(shared), "a", syscall.ECONNREFUSED)
	var mu sync.Mutex
	withdrawn := make(map[string]int)
	wait := func(part string) (done func()) {
		return k.Waiting(poison.Request{Parts: []string{part}}, func(cause poison.Cause) {
			mu.Lock()
			defer mu.Unlock()
			withdrawn[cause.Part]++
		})
	}
	wait("poisoned")
	wait("sound")
	wait("poisoned")() // no longer waiting
	for i, engine := range []string{"one", "two", "three"} {
		k.ConnectionEnded(context.Background(), backend.Server{ID: engine}, poison.Request{Parts: []string{"poisoned"}}, false)
		mu.Lock()
		got, want := withdrawn["poisoned"], min(i, 1)
		mu.Unlock()
		if got != want {
			t.Errorf("after %d crashes: got %d requests withdrawn, want %d", i+1, got, want)
		}
	}
	if withdrawn["sound"] != 0 {
		t.Error("got a sound request withdrawn, want it to go on")
	}
}

// Guards against a request that stays at an engine because its part became known as poisoned after it had been checked and before it
// began to wait.
func TestRequestThatBeginsToWaitAfterVerdictIsWithdrawn(t *testing.T) {
	k := newKeeper(t, new(shared), "a", syscall.ECONNREFUSED)
	for _, engine := range []string{"one", "two"} {
		k.ConnectionEnded(context.Background(), backend.Server{ID: engine}, poison.Request{Parts: []string{"poisoned"}}, false)
	}
	withdrawn := false
	k.Waiting(poison.Request{Parts: []string{"poisoned"}}, func(poison.Cause) { withdrawn = true })
	if !withdrawn {
		t.Error("got a request that waits at its engine, want it withdrawn")
	}
}
