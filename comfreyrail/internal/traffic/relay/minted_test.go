package relay

import (
	"fmt"
	"sync"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeplatform"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// TestMinted covers minted keys while the platform's service is out.
func TestMinted(t *testing.T) {
	tests := []struct {
		name    string
		service fakeservice.Faults
		// firstAway tells that the first call goes to another instance than the one that minted the key.
		firstAway bool
		body      string
		// gone tells that the minting instance stops after the first call.
		gone   bool
		first  outcome.Outcome
		second outcome.Outcome
		runs   int
	}{
		{"done", fakeservice.Faults{}, false, "x", false, outcome.Done, outcome.Done, 1},
		{"first call elsewhere", fakeservice.Faults{}, true, "x", false, outcome.Done, outcome.Done, 1},
		{"another body", fakeservice.Faults{}, true, "y", false, outcome.Done, outcome.NotRun, 1},
		{"answer dropped", fakeservice.Faults{DropResponses: true}, true, "x", false, outcome.Unknown, outcome.Unknown, 1},
		{"refused", fakeservice.Faults{Refuse: true}, true, "x", false, outcome.NotRun, outcome.Done, 1},
		{"minter gone", fakeservice.Faults{}, false, "x", true, outcome.Done, outcome.Unknown, 1},
		{"minter gone before a run", fakeservice.Faults{Refuse: true}, false, "x", true, outcome.NotRun, outcome.Unknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			minter, other := f.start(), f.start()
			f.platform.SetFaults(fakeplatform.Faults{Outage: true})
			f.service.SetFaults(test.service)
			key, err := minter.Mint()
			if err != nil {
				t.Fatal(err)
			}
			at := minter
			if test.firstAway {
				at = other
			}
			first := f.call(at, "first", key, "x")
			if test.gone {
				minter.stop()
			}
			f.service.SetFaults(fakeservice.Faults{})
			second := f.call(other, "second", key, test.body)
			if got, want := first.outcome, test.first; got != want {
				t.Errorf("got first call told %q (%s), want %q", got, first.code, want)
			}
			if got, want := second.outcome, test.second; got != want {
				t.Errorf("got second call told %q (%s), want %q", got, second.code, want)
			}
			if got, want := f.check([]call{first, second}), test.runs; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}

func TestMintedAtOnce(t *testing.T) {
	f := newFleet(t)
	nodes := []*node{f.start(), f.start()}
	key, err := nodes[0].Mint()
	if err != nil {
		t.Fatal(err)
	}
	const callers = 16
	calls := make([]call, callers)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { calls[i] = f.call(nodes[i%2], fmt.Sprint(i), key, "x") })
	}
	group.Wait()
	if got, want := f.check(calls), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
	for _, made := range calls {
		if made.outcome != outcome.Done {
			t.Errorf("got call %s told %q (%s), want %q", made.id, made.outcome, made.message, outcome.Done)
		}
	}
}

func TestForeignMintedKeys(t *testing.T) {
	f := newFleet(t)
	at := f.start()
	tests := []struct {
		name string
		key  string
		want outcome.Outcome
	}{
		{"of no instance", "comfrey.nobody.1.1", outcome.Unknown},
		{"never minted", "comfrey.n1.0.77", outcome.NotRun},
		{"from the future", "comfrey.n1.999999999.1", outcome.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			made := f.call(at, test.name, test.key, "x")
			if got, want := made.outcome, test.want; got != want {
				t.Errorf("got %q (%s), want %q", got, made.code, want)
			}
			if got, want := f.check([]call{made}), 0; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}
