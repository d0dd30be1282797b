package quarantine

import (
	"context"
	"fmt"
	"testing"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Guards against crashes that are not seen because the next incarnation accepts connections, and against servers that live on, are
// leaving, or end connections under a part of a prompt counting as crashed.
func TestReplacedServersHaveCrashed(t *testing.T) {
	tests := []struct {
		name    string
		listed  func(server backend.Server) []backend.Server // after the connection has ended
		crashed bool
	}{
		{"the same incarnation", func(s backend.Server) []backend.Server { return []backend.Server{s} }, false},
		{"draining", func(s backend.Server) []backend.Server {
			s.Draining = true
			return []backend.Server{s}
		}, false},
		{"another start", func(s backend.Server) []backend.Server {
			s.Born++
			return []backend.Server{s}
		}, true},
		{"another server at its address", func(s backend.Server) []backend.Server {
			return []backend.Server{s, {ID: "next" + s.ID, Service: s.Service, Address: s.Address}}
		}, true},
		{"none", func(backend.Server) []backend.Server { return nil }, true},
	}
	for _, test := range tests {
		k := newKeeper(t, new(shared), "a", nil)
		request := poison.Request{Digest: "digest", Parts: []string{"part"}}
		servers := make(map[string][]backend.Server)
		for i := range poison.MinRequestCrashes {
			server := backend.Server{ID: fmt.Sprint(i), Service: "app", Address: fmt.Sprint("address", i), Born: 1}
			k.ConnectionEnded(context.Background(), server, request, false)
			servers["app"] = append(servers["app"], test.listed(server)...)
		}
		k.resolveUnconfirmed(&catalog.Snapshot{Servers: servers})
		if _, got := k.Blocked(poison.Request{Digest: "digest"}); got != test.crashed {
			t.Errorf("%s: got blocked %v, want %v", test.name, got, test.crashed)
		}
		if _, got := k.Blocked(poison.Request{Parts: []string{"part"}}); got {
			t.Errorf("%s: got the part blocked, want it free", test.name)
		}
	}
}

// Guards against memory that grows with each connection that ends.
func TestUnconfirmedCrashesAreBounded(t *testing.T) {
	k := newKeeper(t, new(shared), "a", nil)
	for i := range 2 * maxUnconfirmed {
		k.keepUnconfirmed(backend.Server{ID: fmt.Sprint(i)}, poison.Request{Digest: fmt.Sprint(i)}, false, false)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if got := len(k.unconfirmed); got > maxUnconfirmed {
		t.Errorf("got %d ended connections kept, want %d at most", got, maxUnconfirmed)
	}
}
