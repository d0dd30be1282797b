package relay

import (
	"fmt"
	"sync"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// TestMintedKey checks that the calls with one minted key run at most once in total during an outage of the platform's
// store.
func TestMintedKey(t *testing.T) {
	tests := []struct {
		name    string
		service fakeservice.Faults
		// firstElsewhere sends the first call to another instance than the one that minted the key.
		firstElsewhere bool
		body           string
		// minterStops stops the minting instance after the first call.
		minterStops bool
		first       outcome.Outcome
		second      outcome.Outcome
		runs        int
	}{
		{"done", fakeservice.Faults{}, false, "x", false, outcome.Done, outcome.Done, 1},
		{"first call at other instance", fakeservice.Faults{}, true, "x", false, outcome.Done, outcome.Done, 1},
		{"other body", fakeservice.Faults{}, true, "y", false, outcome.Done, outcome.NotRun, 1},
		{"response lost", fakeservice.Faults{LoseResponses: true}, true, "x", false, outcome.Unknown, outcome.Unknown, 1},
		{"refused", fakeservice.Faults{Refuse: true}, true, "x", false, outcome.NotRun, outcome.Done, 1},
		{"minter stopped", fakeservice.Faults{}, false, "x", true, outcome.Done, outcome.Unknown, 1},
		{"minter stopped before a run", fakeservice.Faults{Refuse: true}, false, "x", true, outcome.NotRun, outcome.Unknown, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFleet(t)
			minter, other := f.start(), f.start()
			f.platform.SetFaults(fakekv.Faults{Outage: true})
			f.service.SetFaults(test.service)
			key, err := minter.Mint()
			if err != nil {
				t.Fatal(err)
			}
			target := minter
			if test.firstElsewhere {
				target = other
			}
			first := f.call(target, "first", key, "x")
			if test.minterStops {
				minter.stop()
			}
			f.service.SetFaults(fakeservice.Faults{})
			second := f.call(other, "second", key, test.body)
			f.verifyCalls([]callResult{first, second}, []outcome.Outcome{test.first, test.second}, test.runs)
		})
	}
}

// TestConcurrentMintedKey checks that concurrent calls with one minted key at two instances run once, and that all get the
// response.
func TestConcurrentMintedKey(t *testing.T) {
	f := newFleet(t)
	instances := []*instance{f.start(), f.start()}
	key, err := instances[0].Mint()
	if err != nil {
		t.Fatal(err)
	}
	const callers = 16
	calls := make([]callResult, callers)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { calls[i] = f.call(instances[i%2], fmt.Sprint(i), key, "x") })
	}
	group.Wait()
	if got, want := f.verifyRuns(calls), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
	for _, result := range calls {
		if result.outcome != outcome.Done {
			t.Errorf("got call %s with outcome %q (%s), want %q", result.id, result.outcome, result.message, outcome.Done)
		}
	}
}

// TestUnknownMintedKeys checks that a request whose key has the format of minted keys doesn't run if no instance of the
// fleet minted the key.
func TestUnknownMintedKeys(t *testing.T) {
	f := newFleet(t)
	instance := f.start()
	tests := []struct {
		name string
		key  string
		want outcome.Outcome
	}{
		{"unknown instance", "comfrey.nobody.1.1", outcome.Unknown},
		{"never minted", "comfrey.n1.0.77", outcome.NotRun},
		{"from the future", "comfrey.n1.999999999.1", outcome.NotRun},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			result := f.call(instance, test.name, test.key, "x")
			if got, want := result.outcome, test.want; got != want {
				t.Errorf("got %q (%s), want %q", got, result.code, want)
			}
			if got, want := f.verifyRuns([]callResult{result}), 0; got != want {
				t.Errorf("got %d runs, want %d", got, want)
			}
		})
	}
}
