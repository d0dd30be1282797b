package completion

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakeengine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
	"github.com/comfreyrail/comfreyrail/rail/outcome"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

func TestRunRecovers(t *testing.T) {
	silenceAll := func(f *fleet) {
		for _, p := range f.proxies {
			p.silence()
		}
	}
	faults := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"kill first", func(f *fleet) { f.kill("0a") }},
		{"kill middle", func(f *fleet) { f.kill("1a") }},
		{"kill last", func(f *fleet) { f.kill("2a") }},
		{"kill all of a chain", func(f *fleet) { f.kill("0a"); f.kill("1a"); f.kill("2a") }},
		{"freeze first", func(f *fleet) { f.freeze("0a") }},
		{"freeze middle", func(f *fleet) { f.freeze("1a") }},
		{"freeze last", func(f *fleet) { f.freeze("2a") }},
		{"silence the caller's side", func(f *fleet) { f.proxies["2a"].silence() }},
		{"silence between stages", func(f *fleet) { f.proxies["1a"].silence() }},
		{"silence everywhere", silenceAll},
		{"lose the link to the middle", func(f *fleet) { f.proxies["1a"].block() }},
		{"restart middle", func(f *fleet) {
			f.engines["1a"].SetFaults(fakeengine.Faults{Crash: true})
			f.engines["1a"].SetFaults(fakeengine.Faults{})
		}},
		{"cross", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{WrongStream: true}) }},
		{"repeat", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{DuplicateFrames: true}) }},
		{"truncate", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{TruncateAfter: 8}) }},
	}
	for _, test := range faults {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 200*time.Microsecond, 0)
			for _, prompt := range []string{"one", "two, which ends early [stop 9]"} {
				tokens, _, err := f.ask(t, prompt, prompt, 12, 6, func() { test.fault(f) })
				if want := fakemodel.Completion(prompt, layers, 12); err != nil || !slices.Equal(tokens, want) {
					t.Errorf("prompt %q: got %q and error %v, want %q", prompt, tokens, err, want)
				}
			}
		})
	}
}

func TestRunFails(t *testing.T) {
	failures := []struct {
		name    string
		after   int
		fault   func(f *fleet)
		outcome outcome.Outcome
	}{
		{"no server answers", 0, func(f *fleet) { killAll(f) }, outcome.NotRun},
		{"no server is left", 3, func(f *fleet) { killAll(f) }, outcome.Unknown},
	}
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 200*time.Microsecond, 0)
			if test.after == 0 {
				test.fault(f)
			}
			tokens, _, err := f.ask(t, t.Name(), "prompt", 12, test.after, func() { test.fault(f) })
			var failure *outcome.Failure
			if !errors.As(err, &failure) || failure.Outcome != test.outcome {
				t.Errorf("got %v after %d tokens, want outcome %q", err, len(tokens), test.outcome)
			}
		})
	}
}

func killAll(f *fleet) {
	for name := range f.engines {
		f.kill(name)
	}
}

// BenchmarkGap measures the longest time between two tokens around a fault in the middle of an answer.
func BenchmarkGap(b *testing.B) {
	faults := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"none", func(*fleet) {}},
		{"kill", func(f *fleet) { f.kill("1a") }},
		{"freeze", func(f *fleet) { f.freeze("1a") }},
		{"silence", func(f *fleet) { f.proxies["2a"].silence() }},
		{"link", func(f *fleet) { f.proxies["1a"].block() }},
	}
	for _, length := range []int{16, 2000} {
		for _, fault := range faults {
			for _, rechain := range []bool{false, true} {
				name := fmt.Sprintf("fault=%s/prompt=%d/rechain=%t", fault.name, length, rechain)
				b.Run(name, func(b *testing.B) { measureGap(b, fault.fault, length, rechain) })
			}
		}
	}
}

func measureGap(b *testing.B, fault func(f *fleet), length int, rechain bool) {
	gaps := make([]time.Duration, 0, b.N)
	for i := range b.N {
		b.StopTimer()
		f := newFleet(b, 500*time.Microsecond, 20*time.Microsecond)
		f.runner.config.RechainAlways = rechain
		b.StartTimer()
		prompt := longPrompt(i, length)
		tokens, at, err := f.ask(b, b.Name(), prompt, 16, 8, func() { fault(f) })
		if want := fakemodel.Completion(prompt, layers, 16); err != nil || !slices.Equal(tokens, want) {
			b.Fatalf("got %q and error %v, want %q", tokens, err, want)
		}
		longest := time.Duration(0)
		for j := 1; j < len(at); j++ {
			longest = max(longest, at[j].Sub(at[j-1]))
		}
		gaps = append(gaps, longest)
	}
	slices.Sort(gaps)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(gaps[len(gaps)/2]), "p50-ms")
	b.ReportMetric(milliseconds(gaps[(len(gaps)-1)*95/100]), "p95-ms")
	b.ReportMetric(milliseconds(gaps[len(gaps)-1]), "max-ms")
}

func TestRunCancelsWhenTheCallerLeaves(t *testing.T) {
	f := newFleet(t, 200*time.Microsecond, 0)
	registry := metrics.NewRegistry()
	f.runner.config.Metrics = registry
	request := Request{ID: t.Name(), Route: table.Route{Name: "r", Pool: "model"}, Prompt: "prompt", MaxTokens: 1000}
	attempts := func() (count int64) {
		registry.Each(func(_ string, counter any) { count += counter.(metrics.Counter).Count() })
		return count
	}
	var before int64
	_, err := f.runner.Run(t.Context(), request, func(string) error {
		before = attempts()
		return io.ErrClosedPipe
	})
	var failure *outcome.Failure
	if !errors.As(err, &failure) || failure.Code != outcome.CodeCaller || failure.Outcome != outcome.Unknown {
		t.Errorf("got %v, want an unknown outcome with code %q", err, outcome.CodeCaller)
	}
	if got := attempts(); got != before || got == 0 {
		t.Errorf("got %d attempts, want the %d made before the caller left", got, before)
	}
	for name := range f.engines {
		if !f.forgets(name, t.Name()) {
			t.Errorf("engine %s still holds the stream", name)
		}
	}
}

// forgets waits a while for the engine to drop the stream.
func (f *fleet) forgets(name, id string) bool {
	for range 200 {
		response, err := f.runner.post(context.Background(), f.proxies[name].address, engine.PathProbe, engine.StreamQuery{Stream: id}, true)
		if err != nil {
			return false
		}
		var progress engine.Progress
		err = json.NewDecoder(response.Body).Decode(&progress)
		closeBody(response)
		if err == nil && progress == (engine.Progress{}) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

func TestRunManyThroughFaults(t *testing.T) {
	const callers, tokens = 32, 40
	f := newFleet(t, 500*time.Microsecond, 0)
	time.AfterFunc(100*time.Millisecond, func() { f.kill("1a") })
	time.AfterFunc(150*time.Millisecond, func() { f.proxies["0a"].silence() })
	time.AfterFunc(200*time.Millisecond, func() { f.freeze("2a") })
	time.AfterFunc(700*time.Millisecond, func() { f.engines["2a"].SetFaults(fakeengine.Faults{}) })
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			got, _, err := f.ask(t, prompt, prompt, tokens, 0, nil)
			if want := fakemodel.Completion(prompt, layers, tokens); err != nil || !slices.Equal(got, want) {
				t.Errorf("caller %d: got %d tokens %q and error %v, want %q", i, len(got), got, err, want)
			}
		})
	}
	group.Wait()
}
