package membership

import (
	"context"
	"io"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// instance is an instance that communicates with others over the network.
type instance struct {
	control    *control.Control
	membership *Membership
	transport  *peer.Transport
	identity   peer.Identity
	stop       context.CancelFunc
}

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

func startPlatform(t *testing.T) (*fakekv.Server, *kv.Client) {
	t.Helper()
	platform := fakekv.New(fakekv.Config{})
	server := httptest.NewServer(platform)
	t.Cleanup(server.Close)
	return platform, &kv.Client{Address: server.Listener.Addr().String()}
}

func startInstance(t *testing.T, name string, store *kv.Client) *instance {
	t.Helper()
	identity, err := peer.NewIdentity(name, "")
	if err != nil {
		t.Fatal(err)
	}
	address := freeport.UDP()
	state := control.New(control.Config{Log: discardLog(), Checker: new(invariant.Checker), Observer: name})
	members := New(Config{
		Self:  member.Member{Name: name, Zone: "a", Incarnation: name, Address: address, Fingerprint: identity.Fingerprint},
		Store: store, Control: state, Log: discardLog(),
	})
	transport := peer.New(peer.Config{Listen: address, Identity: identity, Resolve: members.Resolve, Log: discardLog()})
	transport.Handle(KindHeartbeat, members.ServeHeartbeat)
	transport.Handle(KindRecord, members.ServeRecord)
	members.Call = transport.Call
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	for _, serve := range []func(context.Context) error{state.Serve, transport.Serve, members.Serve} {
		go func() { _ = serve(ctx) }()
	}
	return &instance{control: state, membership: members, transport: transport, identity: identity, stop: cancel}
}

// waitFor waits until the condition holds; it fails the test after 30 s.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for range 600 {
		if condition() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func (i *instance) hasMembers(count int) func() bool {
	return func() bool { return len(i.control.Snapshot().Members()) == count }
}

// TestMembersDuringOutage checks that instances detect each other, and detect a killed one while the store is down.
func TestMembersDuringOutage(t *testing.T) {
	platform, store := startPlatform(t)
	var fleet []*instance
	for _, name := range []string{"rail-1", "rail-2", "rail-3"} {
		fleet = append(fleet, startInstance(t, name, store))
	}
	for _, current := range fleet {
		waitFor(t, "list of three instances", current.hasMembers(3))
	}

	platform.SetFaults(fakekv.Faults{Outage: true})
	fleet[2].stop()
	for _, current := range fleet[:2] {
		waitFor(t, "list without the killed instance during an outage", current.hasMembers(2))
	}
	for _, record := range fleet[0].membership.MemberGenerations(t.Context()) {
		if got, want := record.Epoch > 0, true; got != want {
			t.Errorf("epoch of %q is positive: got %v, want %v", record.Name, got, want)
		}
	}
}

// TestPlannedStop guards against peers that suspect an instance which stopped as planned, and against a record that
// stays in the store.
func TestPlannedStop(t *testing.T) {
	_, store := startPlatform(t)
	first, second := startInstance(t, "rail-1", store), startInstance(t, "rail-2", store)
	waitFor(t, "list of two instances", first.hasMembers(2))
	waitFor(t, "list of two instances", second.hasMembers(2))
	if err := second.membership.Stop(t.Context()); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "state left", func() bool {
		for _, update := range first.control.Snapshot().KnownInstances {
			if update.Member.Name == "rail-2" {
				return update.State == gossip.Left
			}
		}
		return false
	})
	records, err := store.List(t.Context(), keyPrefix)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := len(records), 1; got != want {
		t.Errorf("records after the stop = %d, want %d", got, want)
	}
}

// TestUnknownKeysAreRefused checks that a call fails if the public key of either end differs from the recorded
// fingerprint.
func TestUnknownKeysAreRefused(t *testing.T) {
	_, store := startPlatform(t)
	first := startInstance(t, "rail-1", store)
	waitFor(t, "registration", first.hasMembers(1))
	intruder, err := peer.NewIdentity("rail-1", "")
	if err != nil {
		t.Fatal(err)
	}
	transport := peer.New(peer.Config{Identity: intruder, Log: discardLog()})
	wrong := first.control.Snapshot().Self
	wrong.Fingerprint = intruder.Fingerprint
	tests := []struct {
		name string
		to   member.Member
	}{
		{"server with another key", wrong},
		{"client with another key", first.control.Snapshot().Self},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
			defer cancel()
			var record member.Member
			if err := transport.Call(ctx, test.to, KindRecord, struct{}{}, &record); err == nil {
				t.Errorf("Call got record %+v, want an error", record)
			}
		})
	}
}

// TestLeavingServerReachesPeers checks that a refusal by a leaving server reaches the other instance by heartbeat while
// the store is down.
func TestLeavingServerReachesPeers(t *testing.T) {
	platform, store := startPlatform(t)
	first, second := startInstance(t, "rail-1", store), startInstance(t, "rail-2", store)
	tables := &table.Tables{Generation: 1, Pools: []table.Pool{
		{Name: "bookings", Kind: table.PlainPool, Servers: []table.Server{{Name: "plain-1", Address: "127.0.0.1:1", Zone: "a"}}},
	}}
	now := time.Now()
	for _, current := range []*instance{first, second} {
		waitFor(t, "list of two instances", current.hasMembers(2))
		if err := controltest.Install(t.Context(), current.control, tables); err != nil {
			t.Fatal(err)
		}
		current.control.Send(t.Context(), control.ServerReported{Name: "plain-1", Status: engine.Status{Server: "plain-1"}, SentAt: now, At: now})
		waitFor(t, "usable server", func() bool { return current.control.Snapshot().Usable("plain-1") })
	}
	platform.SetFaults(fakekv.Faults{Outage: true})
	first.control.ReportRefusal(t.Context(), "127.0.0.1:1", "leaving", time.Now())
	waitFor(t, "leaving server at the other instance", func() bool { return !second.control.Snapshot().Usable("plain-1") })
}
