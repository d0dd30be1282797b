package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakeplatform"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

func TestSameKeyAtOnce(t *testing.T) {
	f := newFleet(t)
	nodes := []*node{f.start(), f.start()}
	// The owner is asked more than once meanwhile.
	f.service.SetFaults(fakeservice.Faults{Delay: 1200 * time.Millisecond})
	const callers = 16
	calls := make([]call, callers)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { calls[i] = f.call(nodes[i%2], fmt.Sprint(i), "k", "x") })
	}
	group.Wait()
	if got, want := f.check(calls), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
	for _, made := range calls {
		if made.outcome != outcome.Done {
			t.Errorf("got call %s told %q (%s), want %q from the owner", made.id, made.outcome, made.message, outcome.Done)
		}
	}
}

func TestRepeats(t *testing.T) {
	const stay, other, restart = "the same instance", "another instance", "an instance after a restart"
	tests := []struct {
		name     string
		service  fakeservice.Faults
		platform fakeplatform.Faults
		body     string
		at       string
		first    outcome.Outcome
		second   outcome.Outcome
		runs     int
	}{
		{"done here", fakeservice.Faults{}, fakeplatform.Faults{}, "x", stay, outcome.Done, outcome.Done, 1},
		{"done elsewhere", fakeservice.Faults{}, fakeplatform.Faults{}, "x", other, outcome.Done, outcome.Done, 1},
		{"done before a restart", fakeservice.Faults{}, fakeplatform.Faults{}, "x", restart, outcome.Done, outcome.Done, 1},
		{"another body", fakeservice.Faults{}, fakeplatform.Faults{}, "y", other, outcome.Done, outcome.NotRun, 1},
		{"answer dropped", fakeservice.Faults{DropResponses: true}, fakeplatform.Faults{}, "x", stay, outcome.Unknown, outcome.Unknown, 1},
		{"answer dropped, elsewhere", fakeservice.Faults{DropResponses: true}, fakeplatform.Faults{}, "x", other, outcome.Unknown, outcome.Unknown, 1},
		{"answer dropped, restart", fakeservice.Faults{DropResponses: true}, fakeplatform.Faults{}, "x", restart, outcome.Unknown, outcome.Unknown, 1},
		{"refused", fakeservice.Faults{Refuse: true}, fakeplatform.Faults{}, "x", stay, outcome.NotRun, outcome.Done, 1},
		{"refused, restart", fakeservice.Faults{Refuse: true}, fakeplatform.Faults{}, "x", restart, outcome.NotRun, outcome.Done, 1},
		{"claim answer lost", fakeservice.Faults{}, fakeplatform.Faults{LoseResponses: 1}, "x", other, outcome.Done, outcome.Done, 1},
		{"claim answers lost", fakeservice.Faults{}, fakeplatform.Faults{LoseResponses: 3}, "x", stay, outcome.Done, outcome.Done, 1},
		{"outage", fakeservice.Faults{}, fakeplatform.Faults{Outage: true}, "x", other, outcome.NotRun, outcome.Done, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			at, away := f.start(), f.start()
			f.service.SetFaults(test.service)
			f.platform.SetFaults(test.platform)
			first := f.call(at, "first", "k", "x")
			f.service.SetFaults(fakeservice.Faults{})
			f.platform.SetFaults(fakeplatform.Faults{})
			switch test.at {
			case other:
				at = away
			case restart:
				at.stop()
				at = f.start()
			}
			second := f.call(at, "second", "k", test.body)
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

// TestOutageWithoutKey covers the calls that go on while the platform's service is out.
func TestOutageWithoutKey(t *testing.T) {
	f := newFleet(t)
	at := f.start()
	f.platform.SetFaults(fakeplatform.Faults{Outage: true})
	var calls []call
	for i := range 20 {
		calls = append(calls, f.call(at, fmt.Sprint(i), "", "x"))
	}
	for _, made := range calls {
		if made.outcome != outcome.Done {
			t.Errorf("got call %s told %q (%s), want %q", made.id, made.outcome, made.message, outcome.Done)
		}
	}
	if got, want := f.check(calls), len(calls); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// TestFaults calls with few keys at two instances, which are replaced, while everything fails.
func TestFaults(t *testing.T) {
	f := newFleet(t)
	const callers, each = 16, 30
	nodes := []*node{f.start(), f.start()}
	var mu sync.Mutex
	var calls []call
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 1))
		group.Go(func() {
			for i := range each {
				mu.Lock()
				at := nodes[random.IntN(2)]
				mu.Unlock()
				// Callers repeat each other's keys.
				made := f.call(at, fmt.Sprintf("%d-%d", caller, i), fmt.Sprintf("%d-%d", caller/2, i/3), "x")
				mu.Lock()
				calls = append(calls, made)
				mu.Unlock()
			}
		})
	}
	ended := make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	random := rand.New(rand.NewPCG(7, 7))
	for running := true; running; {
		f.service.SetFaults(fakeservice.Faults{Refuse: random.IntN(4) == 0, DropResponses: random.IntN(4) == 0, Delay: time.Duration(random.IntN(10)) * time.Millisecond})
		f.platform.SetFaults(fakeplatform.Faults{LoseResponses: random.IntN(3), Outage: random.IntN(8) == 0, ExpireLeases: random.IntN(3) == 0})
		if random.IntN(8) == 0 {
			replaced := random.IntN(2)
			next := f.start()
			mu.Lock()
			last := nodes[replaced]
			nodes[replaced] = next
			mu.Unlock()
			go last.stop()
		}
		select {
		case <-ended:
			running = false
		case <-time.After(20 * time.Millisecond):
		}
	}
	counts := make(map[outcome.Outcome]int)
	for _, made := range calls {
		counts[made.outcome]++
	}
	runs := f.check(calls)
	t.Logf("%d calls: %v, %d runs", len(calls), counts, runs)
	if runs == 0 || counts[outcome.Done] == 0 {
		t.Errorf("got %d runs and outcomes %v, want some done", runs, counts)
	}
}
