package edit

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// newWorld returns instances that start with an empty service.
func newWorld(seed uint64, instances int) *world {
	w := &world{
		now: time.Unix(1000, 0), rand: rand.New(rand.NewPCG(seed, 1)), checker: new(invariant.Checker),
		chunks: make(map[table.Hash]record), history: []*table.Tables{{}},
		accepted: make(map[string]uint64), edits: make(map[string]table.Edit), results: make(map[string]Result),
	}
	for i := range instances {
		n := &node{name: i}
		w.nodes = append(w.nodes, n)
		w.start(n)
	}
	return w
}

// start begins a new incarnation of the instance, which keeps nothing.
func (w *world) start(n *node) {
	n.incarnation++
	n.installer = install.New(install.Config{Checker: w.checker})
	n.sweeper, n.generation, n.frozen, n.disturbed, n.rereading = NewSweeper(), 0, time.Time{}, w.now, false
	n.heard, n.contact = 0, w.now
	w.at(n, 0, func() {
		w.perform(n, ReadHead{}, func(a Answer) { w.hear(n, a) })
		for _, peer := range w.nodes {
			w.heartbeat(peer, n)
		}
		w.at(n, time.Second, func() { w.handle(n, install.PeersPolled{}) })
		w.beat(n)
		w.readSlowly(n)
	})
	w.at(n, time.Duration(w.rand.IntN(int(sweepEvery))), func() { w.sweep(n) })
}

// beat tells a random peer the generation in force, again and again.
func (w *world) beat(n *node) {
	w.handle(n, install.Tick{})
	w.heartbeat(n, w.nodes[w.rand.IntN(len(w.nodes))])
	w.at(n, heartbeat, func() { w.beat(n) })
}

func (w *world) heartbeat(from, to *node) {
	inForce := from.installer.InForce()
	if from == to || from.alone || to.alone {
		return
	}
	lag := time.Duration(1+w.rand.IntN(40)) * time.Millisecond
	if w.rand.IntN(50) == 0 {
		w.count("late-heartbeat")
		lag = time.Duration(w.rand.IntN(20000)) * time.Millisecond
	}
	w.at(to, lag, func() {
		w.handle(to, install.GenerationOffered{Peer: strconv.Itoa(from.name), Generation: inForce.Manifest.Generation, Hash: inForce.Hash})
	})
}

// readSlowly is the read of the head that does not depend on watches or peers.
func (w *world) readSlowly(n *node) {
	w.perform(n, ReadHead{}, func(a Answer) { w.hear(n, a) })
	w.at(n, netInterval, func() { w.readSlowly(n) })
}

// sweep runs one sweep at the instance, and later the next.
func (w *world) sweep(n *node) {
	var next func(Answer)
	next = func(answer Answer) {
		step := n.sweeper.Next(answer, w.now)
		if _, ok := step.(Finish); ok {
			w.at(n, sweepEvery, func() { w.sweep(n) })
			return
		}
		w.perform(n, step, next)
	}
	next(Answer{})
}

// submit takes an edit through the service at the instance.
func (w *world) submit(n *node, purpose Purpose, edit table.Edit) {
	if purpose == Commit {
		w.edits[edit.ID] = edit
	}
	attempt := New(Config{
		Purpose: purpose, Edit: edit, MinGeneration: n.installer.InForce().Manifest.Generation, Deadline: w.now.Add(10 * time.Second),
		Cached: func(hash table.Hash) ([]byte, bool) {
			content, ok := n.installer.InForce().Contents[hash]
			return content, ok
		},
		Rand: w.rand,
	})
	var next func(Answer)
	next = func(answer Answer) {
		step := attempt.Next(answer, w.now)
		if finish, ok := step.(Finish); ok {
			w.judge(finish.Result)
			if finish.Result.State == Accepted {
				w.perform(n, ReadHead{}, func(a Answer) { w.hear(n, a) })
			}
			return
		}
		w.perform(n, step, next)
	}
	w.at(n, 0, func() { next(Answer{}) })
}

// judge compares an answer to an operator with the truth and with earlier answers.
func (w *world) judge(result Result) {
	generation, accepted := w.accepted[result.ID]
	if result.State == Accepted && (!accepted || generation != result.Generation) {
		w.fail("edit %s was answered as accepted at %d, but is at %d", result.ID, result.Generation, generation)
	}
	if result.State.IsFinal() && result.State != Accepted && accepted {
		w.fail("edit %s was answered as %s, but was accepted at %d", result.ID, result.State, generation)
	}
	if earlier := w.results[result.ID]; !earlier.State.IsFinal() || earlier.ID == "" {
		w.results[result.ID] = result
	}
}

// finish heals everything and checks that all instances agree and that all answers were true.
func (w *world) finish() {
	w.outage, w.slow, w.lose, w.late = false, false, 0, 0
	for _, n := range w.nodes {
		n.cut, n.alone = false, false
		n.disturb(w.now)
	}
	w.run(longestFreeze + inForceIn)
	for _, result := range w.results {
		w.judge(result)
	}
	for _, n := range w.nodes {
		if got, want := n.installer.InForce().Manifest.Generation, w.history[len(w.history)-1].Generation; got != want {
			w.fail("instance %d has generation %d in force after everything healed, want %d", n.name, got, want)
		}
		if len(w.history) > 1 && !n.installer.Ready() {
			w.fail("instance %d is not ready after everything healed", n.name)
		}
	}
	if w.checker.Violations() > 0 {
		w.fail("the program counted %d violations", w.checker.Violations())
	}
}

// drawEdit returns an edit made for the tables that an instance has in force.
func drawEdit(rt *rapid.T, tables *table.Tables, id string) table.Edit {
	edit := table.Edit{ID: id, Author: "operator"}
	used := make(map[table.Row]bool)
	for range rapid.IntRange(1, 3).Draw(rt, "operations") {
		operation := drawOperation(rt, tables)
		if !used[operation.Row] {
			edit.Operations = append(edit.Operations, operation)
		}
		used[operation.Row] = true
	}
	return edit
}

func drawOperation(rt *rapid.T, tables *table.Tables) table.Operation {
	number := rapid.IntRange(0, 5).Draw(rt, "row")
	name := fmt.Sprint("row", number)
	pool := fmt.Sprint("pool", rapid.IntRange(0, 2).Draw(rt, "pool"))
	server := table.Server{Name: "s" + pool, Address: "127.0.0.1:1", Leaving: rapid.Bool().Draw(rt, "leaving")}
	versions := func(sort table.RowType, within, name string) uint64 {
		return tables.Find(table.Row{Type: sort, Pool: within, Name: name}).Version()
	}
	routeVersion, poolVersion := versions(table.RouteRow, "", name), versions(table.PoolRow, "", pool)
	switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
	case kind == 0 && routeVersion > 0:
		return table.Operation{Action: table.Delete, Row: table.Row{Type: table.RouteRow, Name: name}, Version: routeVersion}
	case kind == 1 && poolVersion > 0:
		return table.Operation{Action: table.Delete, Row: table.Row{Type: table.PoolRow, Name: pool}, Version: poolVersion}
	case kind <= 4:
		return table.PutPool(table.Pool{Name: pool, Kind: table.PlainPool, Servers: []table.Server{server}}, poolVersion)
	case kind == 5 && poolVersion > 0:
		return table.PutServer(pool, server, versions(table.ServerRow, pool, server.Name))
	default:
		priority := rapid.IntRange(0, table.MaxPriority).Draw(rt, "priority")
		return table.PutRoute(table.Route{Name: name, Prefix: "/" + name, Pool: pool, Priority: priority}, routeVersion)
	}
}

// disturb brings about one fault, or ends those of the kind.
func (w *world) disturb(rt *rapid.T, tally *proptest.Tally) {
	n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "instance")]
	kinds := []string{"outage", "slow", "lost-answer", "late-write", "service-cut", "isolation", "freeze", "restart"}
	kind := rapid.SampledFrom(kinds).Draw(rt, "fault")
	tally.CountFault(kind)
	all := w.nodes
	switch kind {
	case "outage":
		w.outage = !w.outage
	case "slow":
		w.slow = !w.slow
	case "lost-answer":
		w.lose++
		return
	case "late-write":
		w.late++
		return
	case "service-cut":
		n.cut, all = !n.cut, []*node{n}
	case "isolation":
		n.cut, n.alone, all = !n.alone, !n.alone, []*node{n}
	case "freeze":
		n.frozen = w.now.Add(time.Duration(rapid.Int64Range(1, int64(longestFreeze)).Draw(rt, "freeze")))
		n.disturb(n.frozen)
		return
	case "restart":
		w.start(n)
		return
	}
	for _, n := range all {
		n.disturb(w.now)
	}
}

func TestProveConfiguration(t *testing.T) {
	proptest.Run(t, "configuration", func(rt *rapid.T, tally *proptest.Tally) {
		w := newWorld(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "instances"))
		w.fail = func(format string, args ...any) { tally.Failf(rt, format, args...) }
		w.count = tally.CountFault
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		for step := range steps {
			tally.Operations++
			n := w.nodes[rapid.IntRange(0, len(w.nodes)-1).Draw(rt, "instance")]
			switch kind := rapid.IntRange(0, 19).Draw(rt, "kind"); {
			case kind < 10:
				w.submit(n, Commit, drawEdit(rt, n.installer.InForce().Tables, fmt.Sprint("e", step)))
			case kind == 10:
				w.submit(n, Withdraw, table.Edit{ID: fmt.Sprint("e", rapid.IntRange(0, step).Draw(rt, "edit"))})
			case kind == 11:
				w.submit(n, Lookup, table.Edit{ID: fmt.Sprint("e", rapid.IntRange(0, step).Draw(rt, "edit"))})
			case kind == 12:
				w.run(time.Duration(rapid.IntRange(1, 12).Draw(rt, "minutes")) * time.Minute)
			case kind < 17:
				w.disturb(rt, tally)
			default:
				w.run(time.Duration(rapid.IntRange(1, 15000).Draw(rt, "milliseconds")) * time.Millisecond)
			}
		}
		w.finish()
	})
}

// sweepsPerEdit is the number of sweeps of each sweeper while an edit is under way.
const sweepsPerEdit = 3

// TestProveSweep interleaves sweeps with an edit that needs a chunk again which is unused.
func TestProveSweep(t *testing.T) {
	proptest.Run(t, "sweep", func(rt *rapid.T, tally *proptest.Tally) {
		w := newWorld(1, 0)
		w.fail = func(format string, args ...any) { tally.Failf(rt, format, args...) }
		w.count = tally.CountFault
		w.complete(w.attempt(table.PutPool(table.Pool{Name: "pool0", Kind: table.PlainPool}, 0)).Next)
		w.complete(w.attempt(table.PutRoute(table.Route{Name: "row0", Prefix: "/0", Pool: "pool0"}, 0)).Next)
		row := table.Row{Type: table.RouteRow, Name: "row1"}
		sweepers := []*Sweeper{NewSweeper(), NewSweeper()}
		for range 3 {
			w.complete(w.attempt(table.PutRoute(table.Route{Name: row.Name, Prefix: "/1", Pool: "pool0"}, 0)).Next)
			for _, sweeper := range sweepers {
				w.complete(sweeper.Next)
			}
			deletion := table.Operation{Action: table.Delete, Row: row, Version: w.history[len(w.history)-1].Generation}
			machines := []*machine{w.machine(w.attempt(deletion).Next, 1)}
			for _, sweeper := range sweepers {
				machines = append(machines, w.machine(sweeper.Next, sweepsPerEdit))
			}
			for len(machines) > 0 {
				tally.Operations++
				if rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
					w.now = w.now.Add(GracePeriod)
				}
				i := rapid.IntRange(0, len(machines)-1).Draw(rt, "machine")
				if machines[i].advance() {
					machines = append(machines[:i], machines[i+1:]...)
				}
			}
			if w.history[len(w.history)-1].Find(row).Route != nil {
				w.fail("the edit was not accepted")
			}
		}
	})
}

// machine runs one Attempt or Sweeper, a step at a time, once or several times over.
type machine struct {
	world *world
	next  func(Answer, time.Time) Step
	last  Answer
	runs  int
}

func (w *world) machine(next func(Answer, time.Time) Step, runs int) *machine {
	return &machine{world: w, next: next, runs: runs}
}

// advance makes one step and reports whether it was the last.
func (m *machine) advance() bool {
	step := m.next(m.last, m.world.now)
	if _, ok := step.(Finish); ok {
		m.last = Answer{}
		m.runs--
		return m.runs == 0
	}
	m.last = m.world.effect(step)
	return false
}

// attempt returns an Attempt at an edit of one operation.
func (w *world) attempt(operation table.Operation) *Attempt {
	edit := table.Edit{ID: fmt.Sprint("e", len(w.edits)), Operations: []table.Operation{operation}}
	w.edits[edit.ID] = edit
	return New(Config{
		Edit: edit, Deadline: w.now.Add(1000 * time.Hour), Rand: w.rand,
		Cached: func(table.Hash) ([]byte, bool) { return nil, false },
	})
}

// complete runs an Attempt or a sweep alone.
func (w *world) complete(next func(Answer, time.Time) Step) {
	m := w.machine(next, 1)
	for !m.advance() {
		continue
	}
}
