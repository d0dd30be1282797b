package stream_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
	"github.com/comfreyrail/comfreyrail/rail/stream"
)

// simulation runs engines and callers in virtual time. It is not safe for concurrent use.
type simulation struct {
	now      time.Time
	rng      *rand.Rand
	calls    callQueue
	sequence int
	engines  []*simulatedEngine
	servers  []chain.Server
	receipts map[tokenKey][]engine.Receipt
	failf    func(format string, args ...any)
}

// tokenKey identifies one token of one attempt.
type tokenKey struct {
	stream            string
	attempt, position int
}

type scheduledCall struct {
	at       time.Time
	sequence int
	run      func()
}

type callQueue []scheduledCall

func (q callQueue) Len() int { return len(q) }
func (q callQueue) Less(a, b int) bool {
	return q[a].at.Before(q[b].at) || (q[a].at.Equal(q[b].at) && q[a].sequence < q[b].sequence)
}
func (q callQueue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *callQueue) Push(x any)   { *q = append(*q, x.(scheduledCall)) }
func (q *callQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

func (sim *simulation) after(wait time.Duration, run func()) {
	sim.sequence++
	heap.Push(&sim.calls, scheduledCall{sim.now.Add(wait), sim.sequence, run})
}

func (sim *simulation) delay() time.Duration {
	return time.Duration(1+sim.rng.IntN(5)) * time.Millisecond
}

func (sim *simulation) runUntil(end time.Time) {
	for len(sim.calls) > 0 && sim.calls[0].at.Before(end) {
		next := heap.Pop(&sim.calls).(scheduledCall)
		sim.now = next.at
		next.run()
	}
}

// simulatedEngine is an engine in a simulation. It loses its streams when it restarts.
type simulatedEngine struct {
	name        string
	first, last int
	version     string
	dead        bool
	frozen      bool
	// skipsLayer reports whether the engine leaves out its last layer.
	skipsLayer bool
	neverFails bool
	// backlog holds what the engine does once it is no longer frozen.
	backlog []func()
	streams map[string]*streamState
}

// streamState is the state of one stream at one simulatedEngine.
type streamState struct {
	open     engine.Open
	progress engine.Progress
	// linkLost reports whether activations to the next stage are lost.
	linkLost bool
	caller   *caller
	tokens   []string
	// lastSent is the time of the last frame, zero after the end of the answer, when no more keep-alive frames are sent.
	lastSent time.Time
	trace    engine.ReceiptsHash
}

// sendTo calls deliver when a message arrives at the engine. If the engine is frozen, it calls deliver when the engine is
// unfrozen; if the engine is dead, it calls refuse instead.
func (sim *simulation) sendTo(target *simulatedEngine, deliver, refuse func()) {
	sim.after(sim.delay(), func() {
		switch {
		case target.dead:
			sim.after(sim.delay(), refuse)
		case target.frozen:
			target.backlog = append(target.backlog, deliver)
		default:
			deliver()
		}
	})
}

func (sim *simulation) findEngine(name string) *simulatedEngine {
	return sim.engines[slices.IndexFunc(sim.engines, func(e *simulatedEngine) bool { return e.name == name })]
}

func (sim *simulation) kill(e *simulatedEngine) {
	e.dead, e.frozen, e.backlog, e.streams = true, false, nil, map[string]*streamState{}
}

func (sim *simulation) unfreeze(e *simulatedEngine) {
	backlog := e.backlog
	e.frozen, e.backlog = false, nil
	for _, run := range backlog {
		run()
	}
}

// refreshServers updates the list of servers every 500 ms, so that the list lags behind the state of the engines.
func (sim *simulation) refreshServers() {
	sim.servers = nil
	for _, e := range sim.engines {
		status := engine.Status{Server: e.name, First: e.first, Last: e.last, Version: e.version, LayerTime: time.Duration(1 + sim.rng.IntN(3))}
		sim.servers = append(sim.servers, chain.Server{Name: e.name, Address: e.name, Status: status, Usable: !e.dead && !e.frozen})
	}
	sim.after(500*time.Millisecond, sim.refreshServers)
}

// caller is one request with its Session and the answer received so far.
type caller struct {
	sim       *simulation
	id        string
	prompt    string
	maxTokens int
	session   *stream.Session
	// received holds the tokens that the Session has delivered.
	received []string
	finish   engine.FinishReason
	// abandonReason is the reason of the Abandon, empty if there was none.
	abandonReason string
	strategies    map[stream.Strategy]int
	// allCallers lists all callers of the simulation, including this one.
	allCallers []*caller
	// openTimesOut reports whether opening the first stage times out in the first attempt.
	openTimesOut bool
	// lostRuns holds the attempts whose frames are lost.
	lostRuns map[int]bool
	// alterFrame returns the frames that arrive in place of one that was sent; nil leaves every frame unchanged.
	alterFrame func(engine.Frame) []engine.Frame
}

func (c *caller) handle(event stream.Event) {
	c.apply(c.session.Handle(c.sim.now, event))
}

func (c *caller) tick() {
	if c.session.Ended() {
		return
	}
	c.handle(stream.Tick{})
	c.sim.after(10*time.Millisecond, c.tick)
}

func (c *caller) apply(actions []stream.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case stream.OpenStages:
			c.strategies[action.Strategy]++
			c.open(action)
		case stream.StartRun:
			c.start(action)
		case stream.ProbeStages:
			c.probe(action)
		case stream.DeliverToken:
			c.receiveToken(action.Token)
		case stream.Complete:
			c.finish = action.Finish
		case stream.Abandon:
			c.abandonReason = action.Reason
		case stream.CloseRun: // frames already sent on the closed connection still arrive
		}
	}
}

func (c *caller) open(action stream.OpenStages) {
	for i, stage := range action.Chain.Stages {
		if !action.NewConnections && c.openTimesOut && i == 0 {
			c.sim.after(400*time.Millisecond, func() {
				c.handle(stream.OpenFailed{Attempt: action.Attempt, Index: i, TimedOut: true, Reason: "open timed out"})
			})
			continue
		}
		target := c.sim.findEngine(stage.Server)
		request := engine.Open{
			Stream: c.id, Attempt: action.Attempt, Index: i, Stages: action.Chain.Stages, Version: action.Chain.Version,
		}
		failed := func() {
			c.handle(stream.OpenFailed{Attempt: action.Attempt, Index: i, Reason: "refused"})
		}
		c.sim.sendTo(target, func() {
			held, known := target.streams[c.id]
			if target.version != request.Version || (known && held.open.Attempt >= request.Attempt) {
				c.sim.after(c.sim.delay(), failed)
				return
			}
			target.streams[c.id] = &streamState{open: request, progress: engine.Progress{Attempt: request.Attempt}, caller: c, lastSent: c.sim.now}
			c.sim.after(c.sim.delay(), func() { c.handle(stream.StageOpened{Attempt: action.Attempt, Index: i}) })
		}, failed)
	}
}

func (c *caller) start(action stream.StartRun) {
	last := c.sim.findEngine(action.Stage.Server)
	resume := slices.Clone(action.Resume)
	refused := func() { c.handle(stream.RunFailed{Attempt: action.Attempt, NotRun: true, Reason: "refused"}) }
	c.sim.sendTo(last, func() {
		held := last.streams[c.id]
		if held == nil || held.open.Attempt != action.Attempt {
			c.sim.after(c.sim.delay(), refused)
			return
		}
		held.tokens = resume
		c.sim.startToken(last, held)
		c.sim.sendKeepAlive(last, held)
	}, refused)
}

func (c *caller) probe(action stream.ProbeStages) {
	for i, stage := range action.Chain.Stages {
		target := c.sim.findEngine(stage.Server)
		respond := func(responded bool) {
			event := stream.StageProbed{Probe: action.Probe, Index: i, Responded: responded}
			if held := target.streams[c.id]; held != nil && responded {
				event.Progress = held.progress
			}
			c.sim.after(c.sim.delay(), func() { c.handle(event) })
		}
		c.sim.sendTo(target, func() { respond(true) }, func() { respond(false) })
	}
}

// receiveToken checks a token that reaches the caller: it must be the next token of this caller's answer, and every stage of
// the chain must have run it exactly once in the current attempt.
func (c *caller) receiveToken(token string) {
	attempt, chosen := c.session.Answer().CurrentAttempt()
	want := fakemodel.Completion(chosen.Version+c.prompt, layers, c.maxTokens)
	if len(c.received) >= len(want) || want[len(c.received)] != token {
		c.sim.failf("stream %s: token %d is %q of %q, want %q", c.id, len(c.received), token, chosen.Version, want)
	}
	wantReceipts := make([]engine.Receipt, 0, len(chosen.Stages))
	for _, stage := range chosen.Stages {
		wantReceipts = append(wantReceipts, engine.Receipt{
			Server: stage.Server, First: stage.First, Last: stage.Last, Version: chosen.Version,
		})
	}
	if receipts := c.sim.receipts[tokenKey{c.id, attempt, len(c.received)}]; !slices.Equal(receipts, wantReceipts) {
		c.sim.failf("stream %s attempt %d token %d ran %v, want %v", c.id, attempt, len(c.received), receipts, wantReceipts)
	}
	c.received = append(c.received, token)
}

// startToken starts the next token at the first stage, or sends the end of the answer after the last token.
func (sim *simulation) startToken(last *simulatedEngine, state *streamState) {
	c := state.caller
	completion := fakemodel.Completion(state.open.Version+c.prompt, layers, c.maxTokens)
	if len(state.tokens) >= len(completion) {
		finish := engine.FinishLength
		if len(completion) < c.maxTokens {
			finish = engine.FinishStop
		}
		sim.send(last, state, engine.Frame{
			Position: len(state.tokens), End: true, Finish: finish, Sum: tokenDigest(c.id, state.tokens),
			Receipts: []engine.Receipt{sim.receipt(last, state)},
		})
		state.lastSent = time.Time{}
		return
	}
	sim.forward(state, engine.Activation{
		Stream: c.id, Attempt: state.open.Attempt, Position: len(state.tokens),
		State: fakemodel.HashContext(state.open.Version+c.prompt, state.tokens),
	})
}

func (sim *simulation) receipt(e *simulatedEngine, state *streamState) engine.Receipt {
	stage := state.open.Stages[state.open.Index]
	return engine.Receipt{Server: e.name, First: stage.First, Last: stage.Last, Version: e.version}
}

// forward sends an activation to its stage. The activation is lost if the link is lost or the stage is dead.
func (sim *simulation) forward(from *streamState, activation engine.Activation) {
	if from.linkLost {
		return
	}
	target := sim.findEngine(from.open.Stages[activation.Index].Server)
	sim.sendTo(target, func() { sim.receiveActivation(target, activation) }, func() {})
}

func (sim *simulation) receiveActivation(e *simulatedEngine, activation engine.Activation) {
	state := e.streams[activation.Stream]
	if state == nil || state.open.Attempt != activation.Attempt {
		return
	}
	state.progress.Received = activation.Position + 1
	sim.after(sim.delay(), func() {
		if e.dead || e.streams[activation.Stream] != state {
			return
		}
		finish := func() { sim.runLayers(e, state, activation) }
		if e.frozen {
			e.backlog = append(e.backlog, finish)
			return
		}
		finish()
	})
}

// runLayers runs the layers of one stage for one token and forwards the result, or sends the token from the last stage.
func (sim *simulation) runLayers(e *simulatedEngine, state *streamState, activation engine.Activation) {
	if e.streams[activation.Stream] != state {
		return
	}
	receipt := sim.receipt(e, state)
	if e.skipsLayer {
		receipt.Last--
	}
	activation.State = fakemodel.Apply(activation.State, receipt.First, receipt.Last)
	activation.Receipts = append(slices.Clone(activation.Receipts), receipt)
	key := tokenKey{activation.Stream, activation.Attempt, activation.Position}
	sim.receipts[key] = append(sim.receipts[key], receipt)
	state.progress.Forwarded = activation.Position + 1
	if state.open.Index < len(state.open.Stages)-1 {
		activation.Index++
		sim.forward(state, activation)
		return
	}
	token := fakemodel.Token(activation.State)
	state.tokens = append(state.tokens, token)
	frame := engine.Frame{
		Position: activation.Position, Token: token, Receipts: activation.Receipts,
		Trace: engine.HashReceipts(activation.Receipts), Sum: tokenDigest(activation.Stream, state.tokens),
	}
	if frame.Trace == state.trace {
		frame.Receipts = nil
	}
	state.trace = frame.Trace
	sim.send(e, state, frame)
	sim.startToken(e, state)
}

// sendKeepAlive sends a keep-alive frame if no frame has been sent for engine.KeepAliveInterval, and schedules the next check.
func (sim *simulation) sendKeepAlive(e *simulatedEngine, state *streamState) {
	if e.dead || e.streams[state.caller.id] != state || state.lastSent.IsZero() {
		return
	}
	if !e.frozen && sim.now.Sub(state.lastSent) >= engine.KeepAliveInterval {
		sim.send(e, state, engine.Frame{Position: len(state.tokens), Alive: true})
	}
	sim.after(engine.KeepAliveInterval, func() { sim.sendKeepAlive(e, state) })
}

// send sends a frame on the connection of the run, where an injected fault may change or drop it.
func (sim *simulation) send(_ *simulatedEngine, state *streamState, frame engine.Frame) {
	c := state.caller
	state.lastSent = sim.now
	frame.Stream, frame.Attempt = c.id, state.open.Attempt
	if c.lostRuns[frame.Attempt] {
		return
	}
	frames := []engine.Frame{frame}
	if c.alterFrame != nil {
		frames = c.alterFrame(frame)
	}
	for _, frame := range frames {
		sim.after(linkDelay, func() { c.handle(stream.FrameArrived{Frame: frame}) })
	}
}

func newSimulation(seed uint64, replicas int, failf func(string, ...any)) *simulation {
	sim := &simulation{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		receipts: make(map[tokenKey][]engine.Receipt), failf: failf,
	}
	for stage := range stages {
		for replica := range replicas {
			sim.engines = append(sim.engines, &simulatedEngine{
				name: fmt.Sprintf("s%d-%d", stage, replica), first: 2 * stage, last: 2*stage + 2, version: "v1",
				neverFails: replica == replicas-1, streams: map[string]*streamState{},
			})
		}
	}
	sim.refreshServers()
	return sim
}

// Parameters of the simulation.
const (
	stages = 3
	layers = 2 * stages
	// linkDelay is the same for all frames, since a connection delivers them in order.
	linkDelay = time.Millisecond
)

// wantTokens returns the correct answer for the model version of the current chain.
func (c *caller) wantTokens() []string {
	_, chosen := c.session.Answer().CurrentAttempt()
	return fakemodel.Completion(chosen.Version+c.prompt, layers, c.maxTokens)
}

func tokenDigest(id string, tokens []string) uint64 {
	return uint64(engine.NewDigest(id).AddAll(tokens))
}

// lastReceipt returns the receipt of the last stage of the current chain.
func (c *caller) lastReceipt() engine.Receipt {
	_, chosen := c.session.Answer().CurrentAttempt()
	last := chosen.Stages[len(chosen.Stages)-1]
	return engine.Receipt{Server: last.Server, First: last.First, Last: last.Last, Version: chosen.Version}
}
