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

// answerTime is the deadline of every request in the model.
const answerTime = time.Minute

func TestProveLayers(t *testing.T) {
	kinds := []string{"kill", "kill", "freeze", "restart", "silent", "link", "cut", "skip", "version", "replacement", "late"}
	proptest.Run(t, "layers", func(rt *rapid.T, tally *proptest.Tally) { history(rt, tally, kinds, 1) })
}

func TestProveAnswers(t *testing.T) {
	kinds := []string{"cross", "duplicate", "late", "end", "lose", "garbage", "text", "cut", "silent", "restart", "kill"}
	proptest.Run(t, "answers", func(rt *rapid.T, tally *proptest.Tally) { history(rt, tally, kinds, 3) })
}

// history runs callers through faults and checks that each gets the whole own answer, or is told that it does not.
func history(rt *rapid.T, tally *proptest.Tally, kinds []string, callers int) {
	checker := &invariant.Checker{Report: func(violation *invariant.Violation) { tally.Failf(rt, "%v", violation) }}
	violate := func(format string, args ...any) { tally.Failf(rt, format, args...) }
	m := newModel(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 3).Draw(rt, "replicas"), violate)
	started := make([]*caller, callers)
	for i := range started {
		started[i] = newCaller(rt, m, i, checker)
	}
	for _, c := range started {
		c.others = started
		m.after(0, func() {
			c.apply(c.session.Begin(m.now))
			c.tick()
		})
	}
	for range rapid.IntRange(0, 6).Draw(rt, "faults") {
		kind := rapid.SampledFrom(kinds).Draw(rt, "kind")
		victim := started[rapid.IntRange(0, callers-1).Draw(rt, "caller")]
		stage := rapid.IntRange(0, stages-1).Draw(rt, "stage")
		at := time.Duration(rapid.IntRange(0, 600).Draw(rt, "at")) * time.Millisecond
		m.after(at, func() {
			if !victim.session.Ended() && inject(m, victim, kind, stage) {
				tally.CountFault(kind)
			}
		})
	}
	m.runUntil(m.now.Add(answerTime + time.Second))
	for _, c := range started {
		tally.Operations += len(c.got)
		for way, count := range c.ways {
			for range count {
				tally.CountFault("way-" + way.String())
			}
		}
		c.check()
	}
}

func newCaller(rt *rapid.T, m *model, number int, checker *invariant.Checker) *caller {
	c := &caller{
		model: m, id: fmt.Sprintf("r%d", number), prompt: fmt.Sprintf("prompt %d", number),
		maxTokens: rapid.IntRange(1, 24).Draw(rt, "tokens"), ways: map[stream.Strategy]int{}, silent: map[int]bool{},
		dropOpen: rapid.IntRange(0, 9).Draw(rt, "open") == 0,
	}
	if rapid.Bool().Draw(rt, "stops") {
		c.prompt += fmt.Sprintf(" [stop %d]", rapid.IntRange(0, 24).Draw(rt, "stop"))
	}
	choose := chain.Choose
	if rapid.Bool().Draw(rt, "picker") {
		choose = chain.New(chain.Config{Random: rand.New(rand.NewSource(int64(number))), Checker: checker}).ChooseFrom
	}
	c.session = stream.NewSession(stream.SessionConfig{
		Answer: stream.AnswerConfig{Stream: c.id, Layers: layers, MaxTokens: c.maxTokens, Checker: checker},
		Recovery: stream.RecoveryConfig{
			Choose: choose, Request: chain.Request{Layers: layers}, Rand: rand.New(rand.NewSource(int64(number))),
			MaxAttemptsWithoutProgress: 10, BaseBackoff: 20 * time.Millisecond, MaxBackoff: time.Second, Cooldown: 5 * time.Second, MaxChainWait: 5 * time.Second,
		},
		Silence: stall.DefaultConfig(), Servers: func() []chain.Server { return m.view },
		OpenTimeout: 500 * time.Millisecond, ProbeTimeout: 250 * time.Millisecond, MinProbeTimeout: 100 * time.Millisecond, Deadline: m.now.Add(answerTime),
	})
	return c
}

// check judges how the request ended; one replica of each stage never fails, so that every answer can be whole.
func (c *caller) check() {
	if !c.session.Ended() {
		c.model.violate("stream %s has not ended after %v", c.id, answerTime)
	}
	if c.gaveUp != "" {
		c.model.violate("stream %s gave up: %s", c.id, c.gaveUp)
	}
	want := c.wanted()
	if c.finish != "" && len(c.got) != len(want) {
		c.model.violate("stream %s complete with %d of %d tokens", c.id, len(c.got), len(want))
	}
}

// inject brings about one fault and reports whether it could.
func inject(m *model, c *caller, kind string, stage int) bool {
	attempt, plan := c.session.Answer().Current()
	if attempt == 0 {
		return false
	}
	target := m.find(plan.Hops[stage].Server)
	switch kind {
	case "silent":
		c.silent[attempt] = true
		return true
	case "link":
		if held := target.attempts[c.id]; held != nil {
			held.cut = true
		}
		return true
	case "cut", "garbage":
		c.handle(stream.RunFailed{Attempt: attempt, Reason: kind})
		return true
	case "cross", "duplicate", "late", "end", "lose", "text":
		c.mangle = mangler(c, kind)
		return true
	}
	return !target.spared && fault(m, c, target, kind)
}

// fault makes a node fail.
func fault(m *model, c *caller, target *node, kind string) bool {
	switch kind {
	case "kill":
		m.kill(target)
	case "freeze":
		target.frozen = true
		m.after(time.Duration(100+m.rng.IntN(3000))*time.Millisecond, func() { m.thaw(target) })
	case "restart":
		m.kill(target)
		target.dead = false
	case "skip":
		target.skips = true
	case "version":
		target.version = "v2"
	case "replacement":
		m.kill(target)
		m.after(time.Duration(m.rng.IntN(100))*time.Millisecond, func() {
			_, plan := c.session.Answer().Current()
			if next := m.find(plan.Hops[target.first/2].Server); !next.spared && !next.dead {
				m.kill(next)
			}
			target.dead = false
		})
	}
	return true
}

// mangler returns what a faulty connection makes of the next token; then the connection is sound again.
func mangler(c *caller, kind string) func(engine.Frame) []engine.Frame {
	return func(frame engine.Frame) []engine.Frame {
		if frame.Alive {
			return []engine.Frame{frame}
		}
		c.mangle = nil
		switch kind {
		case "cross":
			for _, other := range c.others {
				other.handle(stream.FrameArrived{Frame: frame})
			}
			return []engine.Frame{frame}
		case "duplicate":
			return []engine.Frame{frame, frame}
		case "late":
			for _, latest := range []int{10, 30, 100, 1000} {
				c.model.after(time.Duration(c.model.rng.IntN(latest))*time.Millisecond, func() { c.handle(stream.FrameArrived{Frame: frame}) })
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
