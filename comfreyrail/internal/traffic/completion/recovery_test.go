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
	blackholeAll := func(e *enginePool) {
		for _, p := range e.proxies {
			p.blackhole()
		}
	}
	faults := []struct {
		name  string
		fault func(e *enginePool)
	}{
		{"kill first", func(e *enginePool) { e.kill("0a") }},
		{"kill middle", func(e *enginePool) { e.kill("1a") }},
		{"kill last", func(e *enginePool) { e.kill("2a") }},
		{"kill whole chain", func(e *enginePool) { e.kill("0a"); e.kill("1a"); e.kill("2a") }},
		{"freeze first", func(e *enginePool) { e.freeze("0a") }},
		{"freeze middle", func(e *enginePool) { e.freeze("1a") }},
		{"freeze last", func(e *enginePool) { e.freeze("2a") }},
		{"black hole at last", func(e *enginePool) { e.proxies["2a"].blackhole() }},
		{"black hole at middle", func(e *enginePool) { e.proxies["1a"].blackhole() }},
		{"black hole everywhere", blackholeAll},
		{"drop activations to middle", func(e *enginePool) { e.proxies["1a"].dropActivations() }},
		{"restart middle", func(e *enginePool) {
			e.engines["1a"].SetFaults(fakeengine.Faults{Crash: true})
			e.engines["1a"].SetFaults(fakeengine.Faults{})
		}},
		{"frames of another stream", func(e *enginePool) { e.engines["2a"].SetFaults(fakeengine.Faults{WrongStream: true}) }},
		{"duplicate frames", func(e *enginePool) { e.engines["2a"].SetFaults(fakeengine.Faults{DuplicateFrames: true}) }},
		{"truncated response", func(e *enginePool) { e.engines["2a"].SetFaults(fakeengine.Faults{TruncateAfter: 8}) }},
	}
	for _, test := range faults {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newEnginePool(t, 200*time.Microsecond, 0)
			for _, prompt := range []string{"one", "two, which ends early [stop 9]"} {
				tokens, _, err := e.complete(t, prompt, prompt, 12, 6, func() { test.fault(e) })
				if want := fakemodel.Completion(prompt, layers, 12); err != nil || !slices.Equal(tokens, want) {
					t.Errorf("prompt %q: got %q and error %v, want %q", prompt, tokens, err, want)
				}
			}
		})
	}
}

// TestRunOutcomeWithoutEngines checks that a request fails as not run if every engine has crashed before it runs, and
// with the outcome unknown if they crash while it runs.
func TestRunOutcomeWithoutEngines(t *testing.T) {
	failures := []struct {
		name       string
		faultAfter int
		fault      func(e *enginePool)
		outcome    outcome.Outcome
	}{
		{"no server before the run", 0, func(e *enginePool) { killAll(e) }, outcome.NotRun},
		{"no server during the run", 3, func(e *enginePool) { killAll(e) }, outcome.Unknown},
	}
	for _, test := range failures {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			e := newEnginePool(t, 200*time.Microsecond, 0)
			if test.faultAfter == 0 {
				test.fault(e)
			}
			tokens, _, err := e.complete(t, t.Name(), "prompt", 12, test.faultAfter, func() { test.fault(e) })
			var failure *outcome.Failure
			if !errors.As(err, &failure) || failure.Outcome != test.outcome {
				t.Errorf("got %v after %d tokens, want outcome %q", err, len(tokens), test.outcome)
			}
		})
	}
}

// killAll crashes every engine of the pool.
func killAll(e *enginePool) {
	for name := range e.engines {
		e.kill(name)
	}
}

// BenchmarkGap measures the longest time between two tokens of an answer when a fault occurs in the middle of it.
//
// It compares recovery that replaces the failed stages with recovery on a whole new chain.
func BenchmarkGap(b *testing.B) {
	faults := []struct {
		name  string
		fault func(e *enginePool)
	}{
		{"none", func(*enginePool) {}},
		{"kill", func(e *enginePool) { e.kill("1a") }},
		{"freeze", func(e *enginePool) { e.freeze("1a") }},
		{"black hole", func(e *enginePool) { e.proxies["2a"].blackhole() }},
		{"drop activations", func(e *enginePool) { e.proxies["1a"].dropActivations() }},
	}
	for _, length := range []int{16, 2000} {
		for _, fault := range faults {
			for _, alwaysNewChain := range []bool{false, true} {
				name := fmt.Sprintf("fault=%s/prompt=%d/rechain=%t", fault.name, length, alwaysNewChain)
				b.Run(name, func(b *testing.B) { measureGap(b, fault.fault, length, alwaysNewChain) })
			}
		}
	}
}

// measureGap reports percentiles of the longest time between two tokens, in milliseconds, over b.N answers.
func measureGap(b *testing.B, fault func(e *enginePool), length int, alwaysNewChain bool) {
	gaps := make([]time.Duration, 0, b.N)
	for i := range b.N {
		b.StopTimer()
		e := newEnginePool(b, 500*time.Microsecond, 20*time.Microsecond)
		e.runner.config.AlwaysNewChain = alwaysNewChain
		b.StartTimer()
		prompt := longPrompt(i, length)
		tokens, times, err := e.complete(b, b.Name(), prompt, 16, 8, func() { fault(e) })
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
	e := newEnginePool(t, 200*time.Microsecond, 0)
	registry := metrics.NewRegistry()
	e.runner.config.Metrics = registry
	request := Request{ID: t.Name(), Route: table.Route{Name: "r", Pool: "model"}, Prompt: "prompt", MaxTokens: 1000}
	attempts := func() (count int64) {
		registry.Each(func(_ string, counter any) { count += counter.(metrics.Counter).Count() })
		return count
	}
	var before int64
	_, err := e.runner.Run(t.Context(), request, func(string) error {
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
	for name := range e.engines {
		if !e.streamDropped(name, t.Name()) {
			t.Errorf("engine %s still holds the stream", name)
		}
	}
}

// streamDropped reports whether the engine drops the stream within about two seconds.
func (e *enginePool) streamDropped(name, id string) bool {
	for range 200 {
		response, err := e.runner.post(context.Background(), e.proxies[name].address, engine.PathProbe, engine.StreamQuery{Stream: id}, true)
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
	e := newEnginePool(t, 500*time.Microsecond, 0)
	time.AfterFunc(100*time.Millisecond, func() { e.kill("1a") })
	time.AfterFunc(150*time.Millisecond, func() { e.proxies["0a"].blackhole() })
	time.AfterFunc(200*time.Millisecond, func() { e.freeze("2a") })
	time.AfterFunc(700*time.Millisecond, func() { e.engines["2a"].SetFaults(fakeengine.Faults{}) })
	var group sync.WaitGroup
	for i := range callers {
		group.Go(func() {
			prompt := fmt.Sprintf("prompt %d", i)
			got, _, err := e.complete(t, prompt, prompt, tokens, 0, nil)
			if want := fakemodel.Completion(prompt, layers, tokens); err != nil || !slices.Equal(got, want) {
				t.Errorf("caller %d: got %d tokens %q and error %v, want %q", i, len(got), got, err, want)
			}
		})
	}
	group.Wait()
}
