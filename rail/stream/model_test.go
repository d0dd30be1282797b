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

// model runs engines and callers in virtual time.
type model struct {
	now      time.Time
	rng      *rand.Rand
	events   timeline
	sequence int
	nodes    []*node
	view     []chain.Server
	ledger   map[span][]engine.Receipt
	violate  func(format string, args ...any)
}

// span identifies the work on one token in one attempt.
type span struct {
	stream            string
	attempt, position int
}

type event struct {
	at       time.Time
	sequence int
	run      func()
}

type timeline []event

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(a, b int) bool {
	return t[a].at.Before(t[b].at) || (t[a].at.Equal(t[b].at) && t[a].sequence < t[b].sequence)
}
func (t timeline) Swap(a, b int) { t[a], t[b] = t[b], t[a] }
func (t *timeline) Push(x any)   { *t = append(*t, x.(event)) }
func (t *timeline) Pop() any {
	old := *t
	last := old[len(old)-1]
	*t = old[:len(old)-1]
	return last
}

func (m *model) after(wait time.Duration, run func()) {
	m.sequence++
	heap.Push(&m.events, event{m.now.Add(wait), m.sequence, run})
}

func (m *model) delay() time.Duration { return time.Duration(1+m.rng.IntN(5)) * time.Millisecond }

func (m *model) runUntil(end time.Time) {
	for len(m.events) > 0 && m.events[0].at.Before(end) {
		next := heap.Pop(&m.events).(event)
		m.now = next.at
		next.run()
	}
}

// node is an engine; its streams are lost when it restarts.
type node struct {
	name        string
	first, last int
	version     string
	dead        bool
	frozen      bool
	skips       bool
	spared      bool
	backlog     []func()
	attempts    map[string]*work
}

// work is one stream at one node.
type work struct {
	open     engine.Open
	progress engine.Progress
	cut      bool
	caller   *caller
	tokens   []string
	lastSent time.Time
	trace    engine.Trace
}

// reach runs at the node when the message arrives, late if the node is frozen, and reports a dead node.
func (m *model) reach(target *node, run, dead func()) {
	m.after(m.delay(), func() {
		switch {
		case target.dead:
			m.after(m.delay(), dead)
		case target.frozen:
			target.backlog = append(target.backlog, run)
		default:
			run()
		}
	})
}

func (m *model) find(name string) *node {
	return m.nodes[slices.IndexFunc(m.nodes, func(n *node) bool { return n.name == name })]
}

func (m *model) kill(n *node) {
	n.dead, n.frozen, n.backlog, n.attempts = true, false, nil, map[string]*work{}
}

func (m *model) thaw(n *node) {
	backlog := n.backlog
	n.frozen, n.backlog = false, nil
	for _, run := range backlog {
		run()
	}
}

// look refreshes what the router knows about the nodes, with a lag.
func (m *model) look() {
	m.view = nil
	for _, n := range m.nodes {
		status := engine.Status{Server: n.name, First: n.first, Last: n.last, Version: n.version, LayerTime: time.Duration(1 + m.rng.IntN(3))}
		m.view = append(m.view, chain.Server{Name: n.name, Address: n.name, Status: status, Usable: !n.dead && !n.frozen})
	}
	m.after(500*time.Millisecond, m.look)
}

// caller is one request with its Session.
type caller struct {
	model     *model
	id        string
	prompt    string
	maxTokens int
	session   *stream.Session
	got       []string
	finish    engine.FinishReason
	gaveUp    string
	ways      map[stream.Strategy]int
	others    []*caller
	dropOpen  bool
	silent    map[int]bool
	mangle    func(engine.Frame) []engine.Frame
}

func (c *caller) handle(event stream.Event) {
	c.apply(c.session.Handle(c.model.now, event))
}

func (c *caller) tick() {
	if c.session.Ended() {
		return
	}
	c.handle(stream.Tick{})
	c.model.after(10*time.Millisecond, c.tick)
}

func (c *caller) apply(actions []stream.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case stream.OpenStages:
			c.ways[action.Strategy]++
			c.open(action)
		case stream.StartRun:
			c.start(action)
		case stream.ProbeStages:
			c.probe(action)
		case stream.DeliverToken:
			c.deliver(action.Token)
		case stream.Complete:
			c.finish = action.Finish
		case stream.Abandon:
			c.gaveUp = action.Reason
		case stream.CloseRun: // frames of closed connections still arrive late
		}
	}
}

func (c *caller) open(action stream.OpenStages) {
	for i, hop := range action.Plan.Hops {
		if !action.NewConnections && c.dropOpen && i == 0 {
			c.model.after(400*time.Millisecond, func() {
				c.handle(stream.StageFailed{Attempt: action.Attempt, Index: i, TimedOut: true, Reason: "open timed out"})
			})
			continue
		}
		target := c.model.find(hop.Server)
		request := engine.Open{Stream: c.id, Attempt: action.Attempt, Index: i, Hops: action.Plan.Hops, Version: action.Plan.Version}
		failed := func() {
			c.handle(stream.StageFailed{Attempt: action.Attempt, Index: i, Reason: "refused"})
		}
		c.model.reach(target, func() {
			held, known := target.attempts[c.id]
			if target.version != request.Version || (known && held.open.Attempt >= request.Attempt) {
				c.model.after(c.model.delay(), failed)
				return
			}
			target.attempts[c.id] = &work{open: request, progress: engine.Progress{Attempt: request.Attempt}, caller: c, lastSent: c.model.now}
			c.model.after(c.model.delay(), func() { c.handle(stream.StageOpened{Attempt: action.Attempt, Index: i}) })
		}, failed)
	}
}

func (c *caller) start(action stream.StartRun) {
	last := c.model.find(action.Hop.Server)
	resume := slices.Clone(action.Resume)
	refused := func() { c.handle(stream.RunFailed{Attempt: action.Attempt, NotRun: true, Reason: "refused"}) }
	c.model.reach(last, func() {
		held := last.attempts[c.id]
		if held == nil || held.open.Attempt != action.Attempt {
			c.model.after(c.model.delay(), refused)
			return
		}
		held.tokens = resume
		c.model.next(last, held)
		c.model.beat(last, held)
	}, refused)
}

func (c *caller) probe(action stream.ProbeStages) {
	for i, hop := range action.Plan.Hops {
		target := c.model.find(hop.Server)
		answer := func(answered bool) {
			reply := stream.StageProbed{Probe: action.Probe, Index: i, Answered: answered}
			if held := target.attempts[c.id]; held != nil && answered {
				reply.Progress = held.progress
			}
			c.model.after(c.model.delay(), func() { c.handle(reply) })
		}
		c.model.reach(target, func() { answer(true) }, func() { answer(false) })
	}
}

// deliver checks what reaches the caller: the own next token, run by every stage of the plan once under the attempt.
func (c *caller) deliver(token string) {
	attempt, plan := c.session.Answer().Current()
	want := fakemodel.Completion(plan.Version+c.prompt, layers, c.maxTokens)
	if len(c.got) >= len(want) || want[len(c.got)] != token {
		c.model.violate("stream %s: token %d is %q of %q, want %q", c.id, len(c.got), token, plan.Version, want)
	}
	planned := make([]engine.Receipt, 0, len(plan.Hops))
	for _, hop := range plan.Hops {
		planned = append(planned, engine.Receipt{Server: hop.Server, First: hop.First, Last: hop.Last, Version: plan.Version})
	}
	if ran := c.model.ledger[span{c.id, attempt, len(c.got)}]; !slices.Equal(ran, planned) {
		c.model.violate("stream %s attempt %d token %d ran %v, want %v", c.id, attempt, len(c.got), ran, planned)
	}
	c.got = append(c.got, token)
}

// next starts the next token at the first stage, or ends the answer.
func (m *model) next(last *node, held *work) {
	c := held.caller
	whole := fakemodel.Completion(held.open.Version+c.prompt, layers, c.maxTokens)
	if len(held.tokens) >= len(whole) {
		finish := engine.FinishLength
		if len(whole) < c.maxTokens {
			finish = engine.FinishStop
		}
		m.send(last, held, engine.Frame{
			Position: len(held.tokens), End: true, Finish: finish, Sum: sum(c.id, held.tokens),
			Receipts: []engine.Receipt{m.receipt(last, held)},
		})
		held.lastSent = time.Time{}
		return
	}
	m.pass(held, engine.Activation{
		Stream: c.id, Attempt: held.open.Attempt, Position: len(held.tokens),
		State: fakemodel.HashContext(held.open.Version+c.prompt, held.tokens),
	})
}

func (m *model) receipt(n *node, held *work) engine.Receipt {
	hop := held.open.Hops[held.open.Index]
	return engine.Receipt{Server: n.name, First: hop.First, Last: hop.Last, Version: n.version}
}

// pass sends an activation to its stage; it is lost if the link is cut or the stage dead.
func (m *model) pass(from *work, activation engine.Activation) {
	if from.cut {
		return
	}
	target := m.find(from.open.Hops[activation.Index].Server)
	m.reach(target, func() { m.activate(target, activation) }, func() {})
}

func (m *model) activate(n *node, activation engine.Activation) {
	held := n.attempts[activation.Stream]
	if held == nil || held.open.Attempt != activation.Attempt {
		return
	}
	held.progress.Received = activation.Position + 1
	m.after(m.delay(), func() {
		if n.dead || n.attempts[activation.Stream] != held {
			return
		}
		finish := func() { m.step(n, held, activation) }
		if n.frozen {
			n.backlog = append(n.backlog, finish)
			return
		}
		finish()
	})
}

// step runs the layers of one stage on one token.
func (m *model) step(n *node, held *work, activation engine.Activation) {
	if n.attempts[activation.Stream] != held {
		return
	}
	receipt := m.receipt(n, held)
	if n.skips {
		receipt.Last--
	}
	activation.State = fakemodel.Apply(activation.State, receipt.First, receipt.Last)
	activation.Receipts = append(slices.Clone(activation.Receipts), receipt)
	key := span{activation.Stream, activation.Attempt, activation.Position}
	m.ledger[key] = append(m.ledger[key], receipt)
	held.progress.Forwarded = activation.Position + 1
	if held.open.Index < len(held.open.Hops)-1 {
		activation.Index++
		m.pass(held, activation)
		return
	}
	token := fakemodel.Token(activation.State)
	held.tokens = append(held.tokens, token)
	frame := engine.Frame{
		Position: activation.Position, Token: token, Receipts: activation.Receipts,
		Trace: engine.TraceOf(activation.Receipts), Sum: sum(activation.Stream, held.tokens),
	}
	if frame.Trace == held.trace {
		frame.Receipts = nil
	}
	held.trace = frame.Trace
	m.send(n, held, frame)
	m.next(n, held)
}

// beat shows that a run without tokens is alive.
func (m *model) beat(n *node, held *work) {
	if n.dead || n.attempts[held.caller.id] != held || held.lastSent.IsZero() {
		return
	}
	if !n.frozen && m.now.Sub(held.lastSent) >= engine.KeepAliveInterval {
		m.send(n, held, engine.Frame{Position: len(held.tokens), Alive: true})
	}
	m.after(engine.KeepAliveInterval, func() { m.beat(n, held) })
}

// send puts a frame on the run's connection, where it may be mangled or vanish.
func (m *model) send(_ *node, held *work, frame engine.Frame) {
	c := held.caller
	held.lastSent = m.now
	frame.Stream, frame.Attempt = c.id, held.open.Attempt
	if c.silent[frame.Attempt] {
		return
	}
	frames := []engine.Frame{frame}
	if c.mangle != nil {
		frames = c.mangle(frame)
	}
	for _, frame := range frames {
		m.after(linkDelay, func() { c.handle(stream.FrameArrived{Frame: frame}) })
	}
}

func newModel(seed uint64, replicas int, violate func(string, ...any)) *model {
	m := &model{
		now: time.Unix(1_000_000, 0), rng: rand.New(rand.NewPCG(seed, 1)),
		ledger: make(map[span][]engine.Receipt), violate: violate,
	}
	for stage := range stages {
		for replica := range replicas {
			m.nodes = append(m.nodes, &node{
				name: fmt.Sprintf("s%d-%d", stage, replica), first: 2 * stage, last: 2*stage + 2, version: "v1",
				spared: replica == replicas-1, attempts: map[string]*work{},
			})
		}
	}
	m.look()
	return m
}

// Sizes of the model.
const (
	stages = 3
	layers = 2 * stages
	// linkDelay is equal for all frames, since a connection keeps their order.
	linkDelay = time.Millisecond
)

// wanted returns the right answer under the version of the last plan.
func (c *caller) wanted() []string {
	_, plan := c.session.Answer().Current()
	return fakemodel.Completion(plan.Version+c.prompt, layers, c.maxTokens)
}

func sum(id string, tokens []string) uint64 { return uint64(engine.NewDigest(id).AddAll(tokens)) }

// lastReceipt returns the receipt of the plan's last stage.
func (c *caller) lastReceipt() engine.Receipt {
	_, plan := c.session.Answer().Current()
	last := plan.Hops[len(plan.Hops)-1]
	return engine.Receipt{Server: last.Server, First: last.First, Last: last.Last, Version: plan.Version}
}
