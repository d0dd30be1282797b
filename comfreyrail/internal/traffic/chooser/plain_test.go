package chooser

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/fakecontrol"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// newPlain returns a chooser whose state holds a pool of four plain services that report no load.
func newPlain(t *testing.T) *Chooser {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	state := control.New(control.Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	go func() { _ = state.Serve(t.Context()) }()
	pool := table.Pool{Name: "plain", Kind: table.PlainPool}
	for _, name := range []string{"a", "b", "c", "d"} {
		pool.Servers = append(pool.Servers, table.Server{Name: name, Address: name + ":1", Zone: "zone"})
	}
	if err := fakecontrol.Install(context.Background(), state, &table.Tables{Generation: 1, Pools: []table.Pool{pool}}); err != nil {
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

func TestPickSpreadsCalls(t *testing.T) {
	chooser := newPlain(t)
	uses := make(map[string]int)
	for range 20 {
		address, _, ok := chooser.Pick("plain", nil)
		if !ok {
			t.Fatal("got no service, want one")
		}
		uses[address]++
	}
	for _, address := range []string{"a:1", "b:1", "c:1", "d:1"} {
		if got, want := uses[address], 5; got != want {
			t.Errorf("calls at %s: got %d, want %d", address, got, want)
		}
	}
}

func TestPickLeavesFailingServiceAlone(t *testing.T) {
	chooser := newPlain(t)
	for range 40 {
		address, done, ok := chooser.Pick("plain", nil)
		if !ok {
			t.Fatal("got no service, want one")
		}
		done(address != "a:1")
	}
	for range 40 {
		address, done, _ := chooser.Pick("plain", nil)
		if address == "a:1" {
			t.Fatal("failing service: got a call, want none during its pause")
		}
		done(true)
	}
	others := map[string]bool{"b:1": true, "c:1": true, "d:1": true}
	if address, _, ok := chooser.Pick("plain", others); !ok || address != "a:1" {
		t.Errorf("last service left: got %q, want a:1", address)
	}
	others["a:1"] = true
	if _, _, ok := chooser.Pick("plain", others); ok {
		t.Error("no service left: got one, want none")
	}
}
