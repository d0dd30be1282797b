package chooser

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// newPlainChooser returns a chooser whose state holds a plain pool of four servers that report no load. Its
// current time doesn't change.
func newPlainChooser(t *testing.T) *Chooser {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	go func() { _ = state.Serve(t.Context()) }()
	pool := table.Pool{Name: "plain", Kind: table.PlainPool}
	for _, name := range []string{"a", "b", "c", "d"} {
		pool.Servers = append(pool.Servers, table.Server{Name: name, Address: name + ":1", Zone: "zone"})
	}
	if err := controltest.Install(context.Background(), state, &table.Tables{Generation: 1, Pools: []table.Pool{pool}}); err != nil {
		t.Fatal(err)
	}
	for _, row := range pool.Servers {
		state.Send(context.Background(), control.ServerReported{Name: row.Name, Status: engine.Status{Server: row.Name}, At: time.Now()})
	}
	for len(usable(state.Snapshot())) < len(pool.Servers) {
		time.Sleep(time.Millisecond)
	}
	now := time.Now()
	return New(Config{Control: state, Name: "i", Zone: "zone", Now: func() time.Time { return now }, Seed: 1, Checker: new(invariant.Checker)})
}

// TestChooseServerSpreadsCalls checks that calls in progress are spread evenly.
func TestChooseServerSpreadsCalls(t *testing.T) {
	chooser := newPlainChooser(t)
	calls := make(map[string]int)
	for range 20 {
		address, _, ok := chooser.ChooseServer("plain", nil)
		if !ok {
			t.Fatal("got no server, want one")
		}
		calls[address]++
	}
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		if got, want := calls[address], 5; got != want {
			t.Errorf("calls at %s: got %d, want %d", address, got, want)
		}
	}
}

// TestChooseServerAvoidsFailingServer checks that a server that keeps failing gets no calls while its circuit breaker is open,
// except when it is the only one left.
func TestChooseServerAvoidsFailingServer(t *testing.T) {
	chooser := newPlainChooser(t)
	for range 40 {
		address, done, ok := chooser.ChooseServer("plain", nil)
		if !ok {
			t.Fatal("got no server, want one")
		}
		done(address != "a:1")
	}
	for range 40 {
		address, done, _ := chooser.ChooseServer("plain", nil)
		if address == "a:1" {
			t.Fatal("failing server: got a call, want none while its circuit breaker is open")
		}
		done(true)
	}
	others := map[string]bool{"b:1": true, "c:1": true, "d:1": true}
	if address, _, ok := chooser.ChooseServer("plain", others); !ok || address != "a:1" {
		t.Errorf("last server left: got %q, want a:1", address)
	}
	others["a:1"] = true
	if _, _, ok := chooser.ChooseServer("plain", others); ok {
		t.Error("no server left: got one, want none")
	}
}
