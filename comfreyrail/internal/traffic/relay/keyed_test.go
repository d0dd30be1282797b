package relay

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/fake/fakekv"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeservice"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// TestConcurrentSameKey checks that concurrent calls with one key at two instances run once, and that all get the response.
func TestConcurrentSameKey(t *testing.T) {
	f := newFleet(t)
	instances := []*instance{f.start(), f.start()}
	// The run lasts longer than an owner delays its response to a status query, so the query is repeated.
	f.service.SetFaults(fakeservice.Faults{Delay: 1200 * time.Millisecond})
	const callers = 16
	calls := make([]callResult, callers)
	var group sync.WaitGroup
	for i := range calls {
		group.Go(func() { calls[i] = f.call(instances[i%2], fmt.Sprint(i), "k", "x") })
	}
	group.Wait()
	if got, want := f.verifyRuns(calls), 1; got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
	for _, result := range calls {
		if result.outcome != outcome.Done {
			t.Errorf("got call %s with outcome %q (%s), want %q from the owner", result.id, result.outcome, result.message, outcome.Done)
		}
	}
}

// TestRepeatedKey checks that a repeated call doesn't run again if the first call may have run, whatever failed in between.
func TestRepeatedKey(t *testing.T) {
	const sameInstance, otherInstance, afterRestart = "the same instance", "another instance", "an instance after a restart"
	tests := []struct {
		name     string
		service  fakeservice.Faults
		platform fakekv.Faults
		body     string
		target   string
		first    outcome.Outcome
		second   outcome.Outcome
		runs     int
	}{
		{"done, same instance", fakeservice.Faults{}, fakekv.Faults{}, "x", sameInstance, outcome.Done, outcome.Done, 1},
		{"done, other instance", fakeservice.Faults{}, fakekv.Faults{}, "x", otherInstance, outcome.Done, outcome.Done, 1},
		{"done, restart", fakeservice.Faults{}, fakekv.Faults{}, "x", afterRestart, outcome.Done, outcome.Done, 1},
		{"other body", fakeservice.Faults{}, fakekv.Faults{}, "y", otherInstance, outcome.Done, outcome.NotRun, 1},
		{"response lost", fakeservice.Faults{LoseResponses: true}, fakekv.Faults{}, "x", sameInstance, outcome.Unknown, outcome.Unknown, 1},
		{"response lost, other instance", fakeservice.Faults{LoseResponses: true}, fakekv.Faults{}, "x", otherInstance, outcome.Unknown, outcome.Unknown, 1},
		{"response lost, restart", fakeservice.Faults{LoseResponses: true}, fakekv.Faults{}, "x", afterRestart, outcome.Unknown, outcome.Unknown, 1},
		{"refused", fakeservice.Faults{Refuse: true}, fakekv.Faults{}, "x", sameInstance, outcome.NotRun, outcome.Done, 1},
		{"refused, restart", fakeservice.Faults{Refuse: true}, fakekv.Faults{}, "x", afterRestart, outcome.NotRun, outcome.Done, 1},
		{"claim response lost", fakeservice.Faults{}, fakekv.Faults{LoseResponses: 1}, "x", otherInstance, outcome.Done, outcome.Done, 1},
		{"claim responses lost", fakeservice.Faults{}, fakekv.Faults{LoseResponses: 3}, "x", sameInstance, outcome.Done, outcome.Done, 1},
		{"outage", fakeservice.Faults{}, fakekv.Faults{Outage: true}, "x", otherInstance, outcome.NotRun, outcome.Done, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			target, other := f.start(), f.start()
			f.service.SetFaults(test.service)
			f.platform.SetFaults(test.platform)
			first := f.call(target, "first", "k", "x")
			f.service.SetFaults(fakeservice.Faults{})
			f.platform.SetFaults(fakekv.Faults{})
			switch test.target {
			case otherInstance:
				target = other
			case afterRestart:
				target.stop()
				target = f.start()
			}
			second := f.call(target, "second", "k", test.body)
			f.verifyCalls([]callResult{first, second}, []outcome.Outcome{test.first, test.second}, test.runs)
		})
	}
}

// TestOutageWithoutKey checks that calls without a key succeed during an outage of the platform's store.
func TestOutageWithoutKey(t *testing.T) {
	f := newFleet(t)
	instance := f.start()
	f.platform.SetFaults(fakekv.Faults{Outage: true})
	var calls []callResult
	for i := range 20 {
		calls = append(calls, f.call(instance, fmt.Sprint(i), "", "x"))
	}
	for _, result := range calls {
		if result.outcome != outcome.Done {
			t.Errorf("got call %s with outcome %q (%s), want %q", result.id, result.outcome, result.message, outcome.Done)
		}
	}
	if got, want := f.verifyRuns(calls), len(calls); got != want {
		t.Errorf("got %d runs, want %d", got, want)
	}
}

// TestKeyedUnderFaults checks that the calls with one key run at most once in total while the backend server and the
// platform's store fail at random.
//
// Pairs of callers share keys, and the two instances that they call are replaced meanwhile.
func TestKeyedUnderFaults(t *testing.T) {
	f := newFleet(t)
	const callers, callsPerCaller = 16, 30
	instances := []*instance{f.start(), f.start()}
	var mu sync.Mutex
	var calls []callResult
	var group sync.WaitGroup
	for caller := range callers {
		random := rand.New(rand.NewPCG(uint64(caller), 1))
		group.Go(func() {
			for i := range callsPerCaller {
				mu.Lock()
				instance := instances[random.IntN(2)]
				mu.Unlock()
				// Each key is used by two callers, three times by each.
				result := f.call(instance, fmt.Sprintf("%d-%d", caller, i), fmt.Sprintf("%d-%d", caller/2, i/3), "x")
				mu.Lock()
				calls = append(calls, result)
				mu.Unlock()
			}
		})
	}
	ended := make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	random := rand.New(rand.NewPCG(7, 7))
	for running := true; running; {
		f.service.SetFaults(fakeservice.Faults{Refuse: random.IntN(4) == 0, LoseResponses: random.IntN(4) == 0, Delay: time.Duration(random.IntN(10)) * time.Millisecond})
		f.platform.SetFaults(fakekv.Faults{LoseResponses: random.IntN(3), Outage: random.IntN(8) == 0, ExpireLeases: random.IntN(3) == 0})
		if random.IntN(8) == 0 {
			replaced := random.IntN(2)
			next := f.start()
			mu.Lock()
			last := instances[replaced]
			instances[replaced] = next
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
	for _, result := range calls {
		counts[result.outcome]++
	}
	runs := f.verifyRuns(calls)
	t.Logf("%d calls: %v, %d runs", len(calls), counts, runs)
	if runs == 0 || counts[outcome.Done] == 0 {
		t.Errorf("got %d runs and outcomes %v, want some done", runs, counts)
	}
}
