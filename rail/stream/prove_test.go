package stream_test

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
	"github.com/comfreyrail/comfreyrail/rail/stall"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// requestTimeout is the time from the start of the simulation to the deadline of every request.
const requestTimeout = time.Minute

// TestProveLayers checks under random failures of engines and connections that every delivered token was run by each layer
// exactly once, and that every answer is completed.
func TestProveLayers(t *testing.T) {
	kinds := []string{"kill", "kill", "freeze", "restart", "silent", "link", "cut", "skip", "version", "replacement", "late"}
	proptest.Run(t, "layers", func(rt *rapid.T, tally *proptest.Tally) { runCallers(rt, tally, kinds, 1) })
}

// TestProveAnswers checks under lost, repeated, changed and misdirected frames that each caller receives only the tokens of
// its own answer, each once and in order.
func TestProveAnswers(t *testing.T) {
	kinds := []string{"cross", "duplicate", "late", "end", "lose", "garbage", "text", "cut", "silent", "restart", "kill"}
	proptest.Run(t, "answers", func(rt *rapid.T, tally *proptest.Tally) { runCallers(rt, tally, kinds, 3) })
}

// runCallers runs callers while it injects faults of the given kinds, and checks that each caller receives the tokens of its
// own answer only and that every request is completed.
func runCallers(rt *rapid.T, tally *proptest.Tally, kinds []string, callerCount int) {
	checker := &invariant.Checker{Report: func(violation *invariant.Violation) { tally.Failf(rt, "%v", violation) }}
	failf := func(format string, args ...any) { tally.Failf(rt, format, args...) }
	sim := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 3).Draw(rt, "replicas"), failf)
	callers := make([]*caller, callerCount)
	for i := range callers {
		callers[i] = newCaller(rt, sim, i, checker)
	}
	for _, c := range callers {
		c.allCallers = callers
		sim.after(0, func() {
			c.apply(c.session.Begin(sim.now))
			c.tick()
		})
	}
	for range rapid.IntRange(0, 6).Draw(rt, "faults") {
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		victim := callers[rapid.IntRange(0, callerCount-1).Draw(rt, "caller")]
		stage := rapid.IntRange(0, stages-1).Draw(rt, "stage")
		at := time.Duration(rapid.IntRange(0, 600).Draw(rt, "at")) * time.Millisecond
		sim.after(at, func() {
			if !victim.session.Ended() && injectFault(sim, victim, kind, stage) {
				tally.Count(kind)
			}
		})
	}
	sim.runUntil(sim.now.Add(requestTimeout + time.Second))
	for _, c := range callers {
		tally.Operations += len(c.received)
		for strategy, count := range c.strategies {
			for range count {
				tally.Count("way-" + strategy.String())
			}
		}
		c.checkResult()
	}
}

func newCaller(rt *rapid.T, sim *simulation, number int, checker *invariant.Checker) *caller {
	c := &caller{
		sim: sim, id: fmt.Sprintf("r%d", number), prompt: fmt.Sprintf("prompt %d", number),
		maxTokens: rapid.IntRange(1, 24).Draw(rt, "tokens"), strategies: map[stream.Strategy]int{}, lostRuns: map[int]bool{},
		openTimesOut: rapid.IntRange(0, 9).Draw(rt, "open") == 0,
	}
	if rapid.Bool().Draw(rt, "stops") {
		c.prompt += fmt.Sprintf(" [stop %d]", rapid.IntRange(0, 24).Draw(rt, "stop"))
	}
	choose := chain.ChooseCheapest
	if rapid.Bool().Draw(rt, "picker") {
		choose = chain.New(chain.Config{Random: rand.New(rand.NewSource(int64(number))), Checker: checker}).ChooseFrom
	}
	c.session = stream.NewSession(stream.SessionConfig{
		Answer: stream.AnswerConfig{Stream: c.id, Layers: layers, MaxTokens: c.maxTokens, Checker: checker},
		Recovery: stream.RecoveryConfig{
			Choose: choose, Request: chain.Request{Layers: layers}, Rand: rand.New(rand.NewSource(int64(number))),
			MaxAttemptsWithoutProgress: 10, BaseBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, Cooldown: 5 * time.Second, MaxChainWait: 5 * time.Second,
		},
		Stall: stall.DefaultConfig(), Servers: func() []chain.Server { return sim.servers },
		OpenTimeout: 500 * time.Millisecond, ProbeTimeout: 250 * time.Millisecond, MinProbeTimeout: 100 * time.Millisecond, Deadline: sim.now.Add(requestTimeout),
	})
	return c
}

// checkResult checks how the request ended. One replica of each stage never fails, so every request must be completed.
func (c *caller) checkResult() {
	if !c.session.Ended() {
		c.sim.failf("stream %s has not ended after %v", c.id, requestTimeout)
	}
	if c.abandonReason != "" {
		c.sim.failf("stream %s was abandoned: %s", c.id, c.abandonReason)
	}
	want := c.wantTokens()
	if c.finish != "" && len(c.received) != len(want) {
		c.sim.failf("stream %s complete with %d of %d tokens", c.id, len(c.received), len(want))
	}
}

// injectFault injects one fault and reports whether it could. The kind "silent" loses all further frames of the current
// attempt, "link" loses the activations that the stage sends, and "cut" and "garbage" end the run; the other kinds are those
// of frameFault and failEngine.
func injectFault(sim *simulation, c *caller, kind string, stage int) bool {
	attempt, chosen := c.session.Answer().CurrentAttempt()
	if attempt == 0 {
		return false
	}
	target := sim.findEngine(chosen.Stages[stage].Server)
	switch kind {
	case "silent":
		c.lostRuns[attempt] = true
		return true
	case "link":
		if held := target.streams[c.id]; held != nil {
			held.linkLost = true
		}
		return true
	case "cut", "garbage":
		c.handle(stream.RunFailed{Attempt: attempt, Reason: kind})
		return true
	case "cross", "duplicate", "late", "end", "lose", "text":
		c.alterFrame = frameFault(c, kind)
		return true
	}
	return !target.neverFails && failEngine(sim, c, target, kind)
}

// failEngine makes the engine fail in the given way and returns true.
func failEngine(sim *simulation, c *caller, target *simulatedEngine, kind string) bool {
	switch kind {
	case "kill":
		sim.kill(target)
	case "freeze":
		target.frozen = true
		sim.after(time.Duration(100+sim.rng.IntN(3000))*time.Millisecond, func() { sim.unfreeze(target) })
	case "restart":
		sim.kill(target)
		target.dead = false
	case "skip":
		target.skipsLayer = true
	case "version":
		target.version = "v2"
	case "replacement":
		sim.kill(target)
		sim.after(time.Duration(sim.rng.IntN(100))*time.Millisecond, func() {
			_, chosen := c.session.Answer().CurrentAttempt()
			if next := sim.findEngine(chosen.Stages[target.first/2].Server); !next.neverFails && !next.dead {
				sim.kill(next)
			}
			target.dead = false
		})
	}
	return true
}

// frameFault returns a function that changes the next frame that is not a keep-alive frame in the given way, as a faulty
// connection would. Later frames are left unchanged.
func frameFault(c *caller, kind string) func(engine.Frame) []engine.Frame {
	return func(frame engine.Frame) []engine.Frame {
		if frame.Alive {
			return []engine.Frame{frame}
		}
		c.alterFrame = nil
		switch kind {
		case "cross":
			for _, other := range c.allCallers {
				other.handle(stream.FrameArrived{Frame: frame})
			}
			return []engine.Frame{frame}
		case "duplicate":
			return []engine.Frame{frame, frame}
		case "late":
			for _, latest := range []int{10, 30, 100, 1000} {
				c.sim.after(time.Duration(c.sim.rng.IntN(latest))*time.Millisecond, func() { c.handle(stream.FrameArrived{Frame: frame}) })
			}
			return nil
		case "end":
			end := frame
			end.Token, end.End, end.Finish, end.Receipts = "", true, engine.FinishStop, []engine.Receipt{c.lastReceipt()}
			return []engine.Frame{end, frame}
		case "text":
			frame.Token += "x"
			return []engine.Frame{frame}
		}
		return nil
	}
}
