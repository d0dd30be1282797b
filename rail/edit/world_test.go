package edit

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

var errNoAnswer = errors.New("no answer")

// Times of the model.
const (
	callTimeout = 3 * time.Second
	heartbeat   = time.Second
	netInterval = 5 * time.Second
	inForceIn   = 12 * time.Second
	sweepEvery  = 4 * time.Minute

	announcements = 2
	longestCut    = 20 * time.Second
	longestFreeze = 40 * time.Second
)

// timed is something that happens later.
type timed struct {
	at    time.Time
	order int
	do    func()
}

type agenda []timed

func (a agenda) Len() int { return len(a) }
func (a agenda) Less(i, j int) bool {
	return a[i].at.Before(a[j].at) || a[i].at.Equal(a[j].at) && a[i].order < a[j].order
}
func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a *agenda) Push(x any)   { *a = append(*a, x.(timed)) }
func (a *agenda) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

type record struct {
	content []byte
	version uint64
}

// node is one instance.
type node struct {
	name        int
	incarnation int
	installer   *install.Installer
	sweeper     *Sweeper
	frozen      time.Time
	cut         bool
	alone       bool
	disturbed   time.Time
	generation  uint64
	rereading   bool
	heard       uint64
	contact     time.Time
}

// disturb remembers the latest end of a disturbance, which may lie ahead.
func (n *node) disturb(until time.Time) {
	if until.After(n.disturbed) {
		n.disturbed = until
	}
}

// world is the service, the instances and the operators in virtual time.
type world struct {
	now     time.Time
	order   int
	agenda  agenda
	rand    *rand.Rand
	nodes   []*node
	checker *invariant.Checker
	fail    func(format string, args ...any)
	count   func(kind string)

	head    record
	chunks  map[table.Hash]record
	version uint64
	outage  bool
	slow    bool
	lose    int
	late    int

	history  []*table.Tables
	accepted map[string]uint64
	edits    map[string]table.Edit
	results  map[string]Result
}

func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, timed{at: w.now.Add(d), order: w.order, do: do})
}

// run lets time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		next := heap.Pop(&w.agenda).(timed)
		w.now = next.at
		next.do()
	}
	w.now = end
}

// at runs do at the instance after the time, later if it is frozen, never if it is restarted before.
func (w *world) at(n *node, d time.Duration, do func()) {
	incarnation := n.incarnation
	var try func()
	try = func() {
		if n.incarnation != incarnation {
			return
		}
		if n.frozen.After(w.now) {
			w.after(n.frozen.Sub(w.now), try)
			return
		}
		do()
	}
	w.after(d, try)
}

// lag returns the time of one way to the service.
func (w *world) lag() time.Duration {
	if w.slow {
		return time.Duration(w.rand.IntN(1400)) * time.Millisecond
	}
	return time.Duration(1+w.rand.IntN(5)) * time.Millisecond
}

// cutFor cuts the instance from the service for a time.
func (w *world) cutFor(n *node, d time.Duration) {
	n.cut = true
	n.disturb(w.now)
	w.after(d, func() {
		n.cut = false
		n.disturb(w.now)
	})
}

// call makes one call of the service; the answer is lost on outage, partition or by chance.
func (w *world) call(n *node, write bool, effect func() Answer, done func(Answer)) {
	answered := false
	answer := func(a Answer) {
		if !answered {
			answered = true
			done(a)
		}
	}
	w.at(n, callTimeout, func() { answer(Answer{Err: errNoAnswer}) })
	lag, lost := w.lag(), false
	if write && w.late > 0 {
		w.late--
		lag = callTimeout + time.Duration(w.rand.IntN(5000))*time.Millisecond
		if w.rand.IntN(2) == 0 {
			// The link goes while the write is under way.
			defer w.cutFor(n, longestCut)
		}
	} else if write && w.lose > 0 {
		w.lose--
		lost = true
	}
	if n.cut {
		return
	}
	w.after(lag, func() {
		if w.outage {
			return
		}
		result := effect()
		if !lost && !n.cut {
			w.at(n, w.lag(), func() { answer(result) })
		}
	})
}

// perform makes the call that a step asks for.
func (w *world) perform(n *node, step Step, done func(Answer)) {
	if wait, ok := step.(Wait); ok {
		w.at(n, wait.For, func() { done(Answer{}) })
		return
	}
	write := false
	switch step.(type) {
	case WriteChunk, WriteHead, DeleteChunk:
		write = true
	}
	w.call(n, write, func() Answer { return w.effect(step) }, done)
}

// effect is what a call does at the service.
func (w *world) effect(step Step) Answer {
	switch step := step.(type) {
	case ReadHead:
		return found(w.head)
	case ReadChunk:
		return found(w.chunks[step.Hash])
	case WriteChunk:
		if w.chunks[step.Chunk.Hash].version != step.Expect {
			return Answer{Err: kv.ErrConflict}
		}
		w.version++
		w.chunks[step.Chunk.Hash] = record{step.Chunk.Content, w.version}
	case WriteHead:
		return w.writeHead(step)
	case ListChunks:
		return w.list()
	case DeleteChunk:
		return w.delete(step)
	}
	return Answer{}
}

func found(r record) Answer {
	if r.version == 0 {
		return Answer{Err: kv.ErrNotFound}
	}
	return Answer{Content: r.content, Version: r.version}
}

func (w *world) list() Answer {
	listed := make([]StoredChunk, 0, len(w.chunks))
	for hash, r := range w.chunks {
		listed = append(listed, StoredChunk{hash, r.version})
	}
	return Answer{Listed: listed}
}

func (w *world) delete(step DeleteChunk) Answer {
	if w.chunks[step.Hash].version != step.Expect {
		return Answer{Err: kv.ErrConflict}
	}
	w.count("swept-chunk")
	delete(w.chunks, step.Hash)
	head, _ := table.DecodeHead(w.head.content)
	if head.ReferencedChunks()[step.Hash] {
		w.fail("a chunk that the head names was deleted")
	}
	return Answer{}
}

// writeHead takes a new head and checks that it follows the one before.
func (w *world) writeHead(step WriteHead) Answer {
	if w.head.version != step.Expect {
		w.count("lost-race")
		return Answer{Err: kv.ErrConflict}
	}
	w.version++
	w.head = record{step.Content, w.version}
	head, err := table.DecodeHead(step.Content)
	if err != nil {
		w.fail("head cannot be read: %v", err)
		return Answer{}
	}
	for hash := range head.ReferencedChunks() {
		if w.chunks[hash].version == 0 {
			w.fail("generation %d names chunk %s, which is not stored", head.Generation, hash)
		}
	}
	before := w.history[len(w.history)-1]
	if head.Generation == before.Generation {
		return Answer{}
	}
	tables, err := table.DecodeTables(&head.Manifest, func(hash table.Hash) ([]byte, bool) {
		r, ok := w.chunks[hash]
		return r.content, ok
	})
	if err != nil || len(tables.Validate()) > 0 || head.Generation != before.Generation+1 {
		w.fail("generation %d after %d is invalid: %v", head.Generation, before.Generation, err)
		return Answer{}
	}
	w.commit(head, before, tables)
	return Answer{}
}

// commit checks that a generation changes just the rows of its edit.
func (w *world) commit(head *table.Head, before, tables *table.Tables) {
	entry := head.Recent[len(head.Recent)-1]
	if g, ok := w.accepted[entry.ID]; ok {
		w.fail("edit %s was accepted at %d and again at %d", entry.ID, g, head.Generation)
	}
	named := make(map[table.Row]bool)
	for _, operation := range w.edits[entry.ID].Operations {
		named[operation.Row] = true
		if old := before.Find(operation.Row); old.Version() != operation.Version {
			w.fail("edit %s overwrote %s at version %d, made for %d", entry.ID, operation.Row, old.Version(), operation.Version)
		}
	}
	for _, operation := range table.Diff(before, tables) {
		if !named[operation.Row] && !named[table.Row{Type: table.PoolRow, Name: operation.Row.Pool}] {
			w.fail("edit %s changed %s, which it does not name", entry.ID, operation.Row)
		}
	}
	w.accepted[entry.ID] = tables.Generation
	w.history = append(w.history, tables)
	w.watch()
	w.deadline(tables.Generation)
}

// watch answers the waiting watches of some instances; a reconnecting watch repeats an older head.
func (w *world) watch() {
	content := w.head.content
	for _, n := range w.nodes {
		if n.cut || w.rand.IntN(2) == 0 {
			continue
		}
		w.at(n, w.lag(), func() { w.hear(n, Answer{Content: content, Version: 1}) })
		if w.rand.IntN(4) == 0 {
			w.count("repeated-watch")
			w.at(n, time.Duration(w.rand.IntN(20000))*time.Millisecond, func() { w.hear(n, Answer{Content: content, Version: 1}) })
		}
	}
}

// deadline checks that each undisturbed instance has the generation in force in time.
func (w *world) deadline(generation uint64) {
	since := w.now
	w.after(inForceIn, func() {
		for _, n := range w.nodes {
			if n.disturbed.Before(since) && !w.disturbed(n) && n.installer.InForce().Manifest.Generation < generation {
				w.fail("instance %d has generation %d in force %s after generation %d was accepted",
					n.name, n.installer.InForce().Manifest.Generation, inForceIn, generation)
			}
		}
	})
}

func (w *world) disturbed(n *node) bool { return n.cut || n.alone || n.frozen.After(w.now) }

// hear takes a head from the service.
func (w *world) hear(n *node, answer Answer) {
	if errors.Is(answer.Err, kv.ErrNotFound) {
		w.handle(n, install.HeadAbsent{})
		return
	}
	if answer.Err != nil {
		return
	}
	head, err := table.DecodeHead(answer.Content)
	if err != nil {
		w.fail("head cannot be read: %v", err)
		return
	}
	w.handle(n, install.HeadRead{Manifest: head.Manifest})
}

// handle hands an event to the instance and carries out its actions.
func (w *world) handle(n *node, event install.Event) {
	w.note(n, event)
	for _, action := range n.installer.Handle(event, w.now) {
		switch action := action.(type) {
		case install.Fetch:
			w.fetch(n, action, nil)
		case install.ReadHead:
			w.reread(n)
		case install.Install:
			if g := action.InForce.Manifest.Generation; g <= n.generation {
				w.fail("instance %d put generation %d in force after %d", n.name, g, n.generation)
			}
			n.generation = action.InForce.Manifest.Generation
			w.compare(n, action.InForce)
			for range announcements {
				w.heartbeat(n, w.nodes[w.rand.IntN(len(w.nodes))])
			}
		case install.SetReady:
			if action.Ready && n.generation < n.heard {
				w.fail("instance %d is ready at generation %d and has heard of %d", n.name, n.generation, n.heard)
			}
		}
	}
	if n.installer.Ready() && w.now.Sub(n.contact) > install.DefaultIsolationTimeout {
		w.fail("instance %d is ready and has heard nobody since %s", n.name, w.now.Sub(n.contact))
	}
}

// note keeps what the instance heard, apart from what it makes of it.
func (w *world) note(n *node, event install.Event) {
	switch event := event.(type) {
	case install.HeadRead:
		n.heard, n.contact = max(n.heard, event.Manifest.Generation), w.now
	case install.GenerationOffered:
		n.heard, n.contact = max(n.heard, event.Generation), w.now
	case install.HeadAbsent:
		n.contact = w.now
	case install.Fetched:
		if !event.Failed {
			n.contact = w.now
		}
	}
}

// reread reads the head again after a pause, unless a read waits already.
func (w *world) reread(n *node) {
	if n.rereading {
		return
	}
	n.rereading = true
	w.at(n, time.Second, func() {
		n.rereading = false
		w.perform(n, ReadHead{}, func(a Answer) { w.hear(n, a) })
	})
}

// compare checks that what an instance has in force is what was accepted.
func (w *world) compare(n *node, inForce *install.InForce) {
	want := w.history[inForce.Manifest.Generation]
	if len(table.Diff(want, inForce.Tables)) > 0 {
		w.fail("instance %d has other rows in generation %d than were accepted", n.name, want.Generation)
	}
}

// fetch fetches what is left of the hashes, one by one.
func (w *world) fetch(n *node, action install.Fetch, contents [][]byte) {
	if len(action.Hashes) == len(contents) {
		w.handle(n, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents})
		return
	}
	hash := action.Hashes[len(contents)]
	done := func(answer Answer) {
		if answer.Err != nil {
			w.handle(n, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents, Failed: true})
			return
		}
		w.fetch(n, action, append(contents, answer.Content))
	}
	if action.From.Peer == "" {
		w.perform(n, ReadChunk{Hash: hash}, done)
		return
	}
	var peer int
	_, _ = fmt.Sscan(action.From.Peer, &peer)
	w.ask(n, w.nodes[peer], func() Answer {
		content, ok := w.nodes[peer].installer.InForce().Contents[hash]
		if !ok {
			return Answer{Err: kv.ErrNotFound}
		}
		return Answer{Content: content}
	}, done)
}

// ask makes one call from an instance to a peer.
func (w *world) ask(from, to *node, effect func() Answer, done func(Answer)) {
	answered := false
	answer := func(a Answer) {
		if !answered {
			answered = true
			done(a)
		}
	}
	w.at(from, callTimeout, func() { answer(Answer{Err: errNoAnswer}) })
	if from.alone || to.alone {
		return
	}
	w.at(to, time.Duration(1+w.rand.IntN(40))*time.Millisecond, func() {
		result := effect()
		w.at(from, time.Duration(1+w.rand.IntN(40))*time.Millisecond, func() { answer(result) })
	})
}
