package balance

import (
	"fmt"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

var start = time.Unix(1_800_000_000, 0)

// TestChoose guards against choosing a draining, avoided or suspected server while another is available, and against
// preferring a loaded server in the same zone to an idle one in another.
func TestChoose(t *testing.T) {
	near := backend.Server{ID: "near", Zone: "a", Slots: 6}
	far := backend.Server{ID: "far", Zone: "b", Slots: 6}
	draining := backend.Server{ID: "draining", Zone: "a", Slots: 6, Draining: true}
	tests := []struct {
		name    string
		servers []backend.Server
		avoid   []string
		prepare func(*Balancer)
		want    string
	}{
		{"the server in the instance's zone if both are idle", []backend.Server{far, near}, nil, func(*Balancer) {}, "near"},
		{"not a draining server", []backend.Server{draining, far}, nil, func(*Balancer) {}, "far"},
		{"not a server on which the request failed", []backend.Server{near, far}, []string{"near"}, func(*Balancer) {}, "far"},
		{"a server in another zone before one with three requests", []backend.Server{near, far}, nil, func(b *Balancer) {
			for range 3 {
				b.Started("near")
			}
		}, "far"},
		{"a server in another zone before one that reported load", []backend.Server{near, far}, nil, func(b *Balancer) {
			b.UpdateLoad(start, "near", 5)
		}, "far"},
		{"not a suspected server", []backend.Server{near, far}, nil, func(b *Balancer) { b.MarkSuspected(start, "near") }, "far"},
		{"a suspected server if it is the only one", []backend.Server{near}, nil, func(b *Balancer) { b.MarkSuspected(start, "near") }, "near"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := New(Config{})
			test.prepare(b)
			got, ok := b.Choose(start, test.servers, "a", test.avoid)
			if !ok || got.ID != test.want {
				t.Errorf("got %q, want %q", got.ID, test.want)
			}
		})
	}
}

// TestChooseHasNoServer guards against reporting a chosen server where there is none.
func TestChooseHasNoServer(t *testing.T) {
	if got, ok := New(Config{}).Choose(start, nil, "a", nil); ok {
		t.Errorf("got %q, want no server", got.ID)
	}
}

// TestIdleStatesAreRemoved guards against states that grow without bound when servers restart under new ids. Beyond
// maxTracked, only the states of servers with requests, or with a recent report or failure, are kept.
func TestIdleStatesAreRemoved(t *testing.T) {
	b := New(Config{})
	b.Started("busy")
	now := start
	for i := range 10 * maxTracked {
		now = now.Add(50 * time.Millisecond)
		id := fmt.Sprint(i)
		b.MarkSuspected(now, id)
		b.UpdateLoad(now, id, 2)
		b.Choose(now, []backend.Server{{ID: id, Slots: 1}, {ID: "busy", Slots: 1}}, "a", nil)
	}
	if got, want := len(b.states), maxTracked+2; got > want {
		t.Errorf("got %d states, want at most %d", got, want)
	}
	if b.states["busy"] == nil {
		t.Error("got no state of the server with a request, want it kept")
	}
}
