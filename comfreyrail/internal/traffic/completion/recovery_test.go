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

// TestRunRecovers checks that a fault of an engine or of the network in the middle of an answer neither loses, repeats nor
// changes a token.
func TestRunRecovers(t *testing.T) {
	blackholeAll := func(f *fleet) {
		for _, p := range f.proxies {
			p.blackhole()
		}
	}
	faults := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"kill first", func(f *fleet) { f.kill("0a") }},
		{"kill middle", func(f *fleet) { f.kill("1a") }},
		{"kill last", func(f *fleet) { f.kill("2a") }},
		{"kill whole chain", func(f *fleet) { f.kill("0a"); f.kill("1a"); f.kill("2a") }},
		{"freeze first", func(f *fleet) { f.freeze("0a") }},
		{"freeze middle", func(f *fleet) { f.freeze("1a") }},
		{"freeze last", func(f *fleet) { f.freeze("2a") }},
		{"black hole at last", func(f *fleet) { f.proxies["2a"].blackhole() }},
		{"black hole at middle", func(f *fleet) { f.proxies["1a"].blackhole() }},
		{"black hole everywhere", blackholeAll},
		{"drop activations to middle", func(f *fleet) { f.proxies["1a"].dropActivations() }},
		{"restart middle", func(f *fleet) {
			f.engines["1a"].SetFaults(fakeengine.Faults{Crash: true})
			f.engines["1a"].SetFaults(fakeengine.Faults{})
		}},
		{"frames of another stream", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{WrongStream: true}) }},
		{"duplicate frames", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{DuplicateFrames: true}) }},
		{"truncated response", func(f *fleet) { f.engines["2a"].SetFaults(fakeengine.Faults{TruncateAfter: 8}) }},
	}
	for _, test := range faults {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 200*time.Microsecond, 0)
			for _, prompt := range []string{"one", "two, which ends early [stop 9]"} {
				tokens, _, err := f.complete(t, prompt, prompt, 12, 6, func() { test.fault(f) })
				if want := fakemodel.Completion(prompt, layers, 12); err != nil || !slices.Equal(tokens, want) {
					t.Errorf("prompt %q: got %q and error %v, want %q", prompt, tokens, err, want)
				}
			}
		})
	}
}

// TestRunFails checks the outcome when every engine has crashed, before the request has run and while it runs.
func TestRunFails(t *testing.T) {
	failures := []struct {
		name    string
		after   int
		fault   func(f *fleet)
		outcome outcome.Outcome
	}{
		{"no server before the run", 0, func(f *fleet) { killAll(f) }, outcome.NotRun},
		{"no server during the run", 3, func(f *fleet) { killAll(f) }, outcome.Unknown},
	}
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, 200*time.Microsecond, 0)
			if test.after == 0 {
				test.fault(f)
			}
			tokens, _, err := f.complete(t, t.Name(), "prompt", 12, test.after, func() { test.fault(f) })
			var failure *outcome.Failure
			if !errors.As(err, &failure) || failure.Outcome != test.outcome {
				t.Errorf("got %v after %d tokens, want outcome %q", err, len(tokens), test.outcome)
			}
		})
	}
}

// killAll crashes every engine of the fleet.
func killAll(f *fleet) {
	for name := range f.engines {
		f.kill(name)
	}
}

// BenchmarkGap measures the longest time between two tokens of an answer when a fault occurs in the middle of it.
//
// It compares recovery that replaces the failed stages with recovery on a whole new chain.
func BenchmarkGap(b *testing.B) {
	faults := []struct {
		name  string
		fault func(f *fleet)
	}{
		{"none", func(*fleet) {}},
		{"kill", func(f *fleet) { f.kill("1a") }},
		{"freeze", func(f *fleet) { f.freeze("1a") }},
		{"silence", func(f *fleet) { f.proxies["2a"].blackhole() }},
		{"link", func(f *fleet) { f.proxies["1a"].dropActivations() }},
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

// measureGap reports percentiles of the longest time between two tokens, in milliseconds, over b.N answers.
func measureGap(b *testing.B, fault func(f *fleet), length int, rechain bool) {
	gaps := make([]time.Duration, 0, b.N)
	for i := range b.N {
		b.StopTimer()
		f := newFleet(b, 500*time.Microsecond, 20*time.Microsecond)
		f.runner.config.RechainAlways = rechain
		b.StartTimer()
		prompt := longPrompt(i, length)
		tokens, times, err := f.complete(b, b.Name(), prompt, 16, 8, func() { fault(f) })
		if want := fakemodel.Completion(prompt, layers, 16); err != nil || !slices.Equal(tokens, want) {
			b.Fatalf("got %q and error %v, want %q", tokens, err, want)
		}
		longest := time.Duration(0)
		for j := 1; j < len(times); j++ {
			longest = max(longest, times[j].Sub(times[j-1]))
		}
		gaps = append(gaps, longest)
	}
	slices.Sort(gaps)
	milliseconds := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(milliseconds(gaps[len(gaps)/2]), "p50-ms")
	b.ReportMetric(milliseconds(gaps[(len(gaps)-1)*95/100]), "p95-ms")
	b.ReportMetric(milliseconds(gaps[len(gaps)-1]), "max-ms")
}

// TestRunCancelsOnDisconnect checks that no attempt follows the disconnection of the caller, which shows as an error of
// deliver, and that every engine drops the stream.
func TestRunCancelsOnDisconnect(t *testing.T) {
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
		t.Errorf("got %d attempts, want the %d made before the caller disconnected", got, before)
	}
	for name := range f.engines {
		if !f.streamDropped(name, t.Name()) {
			t.Errorf("engine %s still holds the stream", name)
		}
	}
}

// streamDropped reports whether the engine drops the stream within about two seconds.
func (f *fleet) streamDropped(name, id string) bool {
	for range 200 {
		response, err := f.runner.post(context.Background(), f.proxies[name].address, engine.PathProbe, engine.StreamQuery{Stream: id}, true)
		if err != nil {
			return false
		}
		var progress engine.Progress
		err = json.NewDecoder(response.Body).Decode(&progress)
		drainAndClose(response)
		if err == nil && progress == (engine.Progress{}) {
			return true
		}
		time.Sleep(10 * time.Millisecond)
	}
	return false
}

// TestRunConcurrentFaults checks that concurrent answers stay correct while several engines fail in different ways.
func TestRunConcurrentFaults(t *testing.T) {
	const callers, tokens = 32, 40
	f := newFleet(t, 500*time.Microsecond, 0)
	time.AfterFunc(100*time.Millisecond, func() { f.kill("1a") })
	time.AfterFunc(150*time.Millisecond, func() { f.proxies["0a"].blackhole() })
	time.AfterFunc(200*time.Millisecond, func() { f.freeze("2a") })
	time.AfterFunc(700*time.Millisecond, func() { f.engines["2a"].SetFaults(fakeengine.Faults{}) })
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			got, _, err := f.complete(t, prompt, prompt, tokens, 0, nil)
			if want := fakemodel.Completion(prompt, layers, tokens); err != nil || !slices.Equal(got, want) {
				t.Errorf("caller %d: got %d tokens %q and error %v, want %q", i, len(got), got, err, want)
			}
		})
	}
	group.Wait()
}
