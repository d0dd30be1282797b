package quarantine

import (
	"context"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// connect makes each keeper's announcements known to the others at once.
func connect(keepers ...*Keeper) {
	for _, from := range keepers {
		from.config.Announce = func(content []byte) {
			for _, to := range keepers {
				if to != from {
					to.Announced(from.config.Name, content)
				}
			}
		}
	}
}

// waitBlocked reports whether the keeper blocks the part after a while.
func waitBlocked(k *Keeper, part string) bool {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if _, ok := k.Blocked(poison.Request{Parts: []string{part}}); ok {
			return true
		}
	}
	return false
}

// Guards against instances that let a poisoned part crash engine after engine until the store has passed on what each has seen.
func TestCrashesAreAnnounced(t *testing.T) {
	s := &shared{writeErr: errors.New("down")} // the store passes on nothing
	a, b, c := newKeeper(t, s, "a", syscall.ECONNREFUSED), newKeeper(t, s, "b", syscall.ECONNREFUSED), newKeeper(t, s, "c", nil)
	connect(a, b, c)
	endConnections(a, poison.MinCrashes-1, "poisoned")
	endConnections(b, 1, "poisoned")
	for _, k := range []*Keeper{a, b, c} {
		if !waitBlocked(k, "poisoned") {
			t.Errorf("%s: got the part sent, want it blocked", k.config.Name)
		}
	}
}

// Guards against a panic on an announcement that is not valid.
func TestInvalidAnnouncementIsIgnored(t *testing.T) {
	k := newKeeper(t, new(shared), "a", nil)
	for _, content := range []string{"", "{", `{"crashes":1}`} {
		k.Announced("b", []byte(content))
	}
	if _, ok := k.Blocked(poison.Request{Parts: []string{"part"}}); ok {
		t.Error("got a part blocked, want none")
	}
}

// Guards against a request that crashes server after server at each instance while the store passes on nothing.
func TestCrashesUnderRequestAreAnnounced(t *testing.T) {
	s := &shared{writeErr: errors.New("down")}
	keepers := []*Keeper{newKeeper(t, s, "a", syscall.ECONNREFUSED), newKeeper(t, s, "b", syscall.ECONNREFUSED), newKeeper(t, s, "c", nil)}
	connect(keepers...)
	request := poison.Request{Digest: "digest"}
	for i := range poison.MinRequestCrashes {
		keepers[i%2].ConnectionEnded(context.Background(), backend.Server{ID: fmt.Sprint(i)}, request, false)
	}
	for _, k := range keepers {
		isBlocked := false
		for deadline := time.Now().Add(3 * time.Second); !isBlocked && time.Now().Before(deadline); time.Sleep(time.Millisecond) {
			_, isBlocked = k.Blocked(request)
		}
		if !isBlocked {
			t.Errorf("%s: got the request sent, want it blocked", k.config.Name)
		}
	}
}
