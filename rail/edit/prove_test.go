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

// newSimulation returns a simulation of instances that start with an empty store.
func newSimulation(seed uint64, instances int) *simulation {
	s := &simulation{
		now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 1)), checker: new(invariant.Checker),
		chunks: make(map[table.Hash]record), generations: []*table.Tables{{}},
		acceptedGeneration: make(map[string]uint64), edits: make(map[string]table.Edit), results: make(map[string]Result),
	}
	for i := range instances {
		inst := &instance{index: i}
		s.instances = append(s.instances, inst)
		s.startInstance(inst)
	}
	return s
}

// startInstance starts a new incarnation of the instance, without any earlier state.
func (s *simulation) startInstance(inst *instance) {
	inst.incarnation++
	inst.installer = install.New(install.Config{Checker: s.checker})
	inst.sweeper, inst.installedGeneration, inst.frozenUntil, inst.lastFaultAt, inst.rereadPending = NewSweeper(), 0, time.Time{}, s.now, false
	inst.newestReported, inst.lastContactAt = 0, s.now
	s.scheduleOn(inst, 0, func() {
		s.performStep(inst, ReadHead{}, func(response Response) { s.handleHead(inst, response) })
		for _, peer := range s.instances {
			s.sendHeartbeat(peer, inst)
		}
		s.scheduleOn(inst, time.Second, func() { s.handleEvent(inst, install.PeersQueried{}) })
		s.heartbeatLoop(inst)
		s.pollHead(inst)
	})
	s.scheduleOn(inst, time.Duration(s.rng.IntN(int(sweepInterval))), func() { s.sweepLoop(inst) })
}

// heartbeatLoop passes a Tick to the installer and sends a heartbeat to a random peer, every heartbeatInterval.
func (s *simulation) heartbeatLoop(inst *instance) {
	s.handleEvent(inst, install.Tick{})
	s.sendHeartbeat(inst, s.instances[s.rng.IntN(len(s.instances))])
	s.scheduleOn(inst, heartbeatInterval, func() { s.heartbeatLoop(inst) })
}

func (s *simulation) sendHeartbeat(from, to *instance) {
	inForce := from.installer.InForce()
	if from == to || from.peersLost || to.peersLost {
		return
	}
	latency := time.Duration(1+s.rng.IntN(40)) * time.Millisecond
	if s.rng.IntN(50) == 0 {
		s.countEvent("late-heartbeat")
		latency = time.Duration(s.rng.IntN(20000)) * time.Millisecond
	}
	s.scheduleOn(to, latency, func() {
		s.handleEvent(to, install.GenerationOffered{Peer: strconv.Itoa(from.index), Generation: inForce.Manifest.Generation, Hash: inForce.Hash})
	})
}

// pollHead reads the head every pollInterval, independently of watches and peers.
func (s *simulation) pollHead(inst *instance) {
	s.performStep(inst, ReadHead{}, func(response Response) { s.handleHead(inst, response) })
	s.scheduleOn(inst, pollInterval, func() { s.pollHead(inst) })
}

// sweepLoop runs a sweep on the instance and schedules the next one.
func (s *simulation) sweepLoop(inst *instance) {
	var next func(Response)
	next = func(response Response) {
		step := inst.sweeper.Next(response, s.now)
		if _, ok := step.(Finish); ok {
			s.scheduleOn(inst, sweepInterval, func() { s.sweepLoop(inst) })
			return
		}
		s.performStep(inst, step, next)
	}
	next(Response{})
}

// submitEdit runs an Attempt at the edit on the instance.
func (s *simulation) submitEdit(inst *instance, purpose Purpose, edit table.Edit) {
	if purpose == Commit {
		s.edits[edit.ID] = edit
	}
	attempt := New(Config{
		Purpose: purpose, Edit: edit, MinGeneration: inst.installer.InForce().Manifest.Generation, Deadline: s.now.Add(10 * time.Second),
		Cached: func(hash table.Hash) ([]byte, bool) {
			content, ok := inst.installer.InForce().Contents[hash]
			return content, ok
		},
		Rand: s.rng,
	})
	var next func(Response)
	next = func(response Response) {
		step := attempt.Next(response, s.now)
		if finish, ok := step.(Finish); ok {
			s.checkResult(finish.Result)
			if finish.Result.State == Accepted {
				s.performStep(inst, ReadHead{}, func(response Response) { s.handleHead(inst, response) })
			}
			return
		}
		s.performStep(inst, step, next)
	}
	s.scheduleOn(inst, 0, func() { next(Response{}) })
}

// checkResult checks the result reported to an operator against the generations in the store, and records it unless a
// final one is recorded.
func (s *simulation) checkResult(result Result) {
	generation, accepted := s.acceptedGeneration[result.ID]
	if result.State == Accepted && (!accepted || generation != result.Generation) {
		s.failf("edit %s was reported as accepted in generation %d, but was accepted in generation %d", result.ID, result.Generation, generation)
	}
	if result.State.IsFinal() && result.State != Accepted && accepted {
		s.failf("edit %s was reported as %s, but was accepted in generation %d", result.ID, result.State, generation)
	}
	if earlier := s.results[result.ID]; !earlier.State.IsFinal() || earlier.ID == "" {
		s.results[result.ID] = result
	}
}

// checkConvergence ends all faults and checks that every instance has the newest generation in force, that it is ready if
// an edit was accepted, and that every reported result was correct.
func (s *simulation) checkConvergence() {
	s.outage, s.slowStore, s.responsesToLose, s.writesToDelay = false, false, 0, 0
	for _, inst := range s.instances {
		inst.storeLost, inst.peersLost = false, false
		inst.recordFault(s.now)
	}
	s.advance(maxFreeze + maxInstallDelay)
	for _, result := range s.results {
		s.checkResult(result)
	}
	for _, inst := range s.instances {
		if got, want := inst.installer.InForce().Manifest.Generation, s.generations[len(s.generations)-1].Generation; got != want {
			s.failf("instance %d has generation %d in force after all faults ended, want %d", inst.index, got, want)
		}
		if len(s.generations) > 1 && !inst.installer.Ready() {
			s.failf("instance %d is not ready after all faults ended", inst.index)
		}
	}
	if s.checker.Violations() > 0 {
		s.failf("the invariant checker counted %d violations", s.checker.Violations())
	}
}

// drawEdit draws an edit based on the tables that an instance has in force.
func drawEdit(rt *rapid.T, tables *table.Tables, id string) table.Edit {
	edit := table.Edit{ID: id, Author: "operator"}
	used := make(map[table.RowKey]bool)
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
	versionOf := func(rowType table.RowType, poolName, name string) uint64 {
		return tables.Find(table.RowKey{Type: rowType, Pool: poolName, Name: name}).Version()
	}
	routeVersion, poolVersion := versionOf(table.RouteRow, "", name), versionOf(table.PoolRow, "", pool)
	switch kind := rapid.IntRange(0, 9).Draw(rt, "kind"); {
	case kind == 0 && routeVersion > 0:
		return table.Operation{Action: table.Delete, Row: table.RowKey{Type: table.RouteRow, Name: name}, Version: routeVersion}
	case kind == 1 && poolVersion > 0:
		return table.Operation{Action: table.Delete, Row: table.RowKey{Type: table.PoolRow, Name: pool}, Version: poolVersion}
	case kind <= 4:
		return table.PutPool(table.Pool{Name: pool, Kind: table.PlainPool, Servers: []table.Server{server}}, poolVersion)
	case kind == 5 && poolVersion > 0:
		return table.PutServer(pool, server, versionOf(table.ServerRow, pool, server.Name))
	default:
		priority := rapid.IntRange(0, table.MaxPriority).Draw(rt, "priority")
		return table.PutRoute(table.Route{Name: name, Prefix: "/" + name, Pool: pool, Priority: priority}, routeVersion)
	}
}

// toggleFault draws a fault and starts it, or ends it if it is active.
func (s *simulation) toggleFault(rt *rapid.T, tally *proptest.Tally) {
	inst := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(rt, "instance")]
	kinds := []string{"outage", "slow", "lost-answer", "late-write", "service-cut", "isolation", "freeze", "restart"}
	kind := rapid.SampledFrom(kinds).Draw(rt, "fault")
	tally.Count(kind)
	all := s.instances
	switch kind {
	case "outage":
		s.outage = !s.outage
	case "slow":
		s.slowStore = !s.slowStore
	case "lost-answer":
		s.responsesToLose++
		return
	case "late-write":
		s.writesToDelay++
		return
	case "service-cut":
		inst.storeLost, all = !inst.storeLost, []*instance{inst}
	case "isolation":
		inst.storeLost, inst.peersLost, all = !inst.peersLost, !inst.peersLost, []*instance{inst}
	case "freeze":
		inst.frozenUntil = s.now.Add(time.Duration(rapid.Int64Range(1, int64(maxFreeze)).Draw(rt, "freeze")))
		inst.recordFault(inst.frozenUntil)
		return
	case "restart":
		s.startInstance(inst)
		return
	}
	for _, inst := range all {
		inst.recordFault(s.now)
	}
}

// TestProveConfiguration guards against lost or duplicated edits, wrong results and instances that do not converge.
// It runs random edits and sweeps on several instances under injected faults.
func TestProveConfiguration(t *testing.T) {
	proptest.Run(t, "configuration", func(rt *rapid.T, tally *proptest.Tally) {
		s := newSimulation(rapid.Uint64().Draw(rt, "seed"), rapid.IntRange(2, 5).Draw(rt, "instances"))
		s.failf = func(format string, args ...any) { tally.Failf(rt, format, args...) }
		s.countEvent = tally.Count
		steps := rapid.IntRange(5, 60).Draw(rt, "steps")
		for step := range steps {
			tally.Operations++
			inst := s.instances[rapid.IntRange(0, len(s.instances)-1).Draw(rt, "instance")]
			switch kind := rapid.IntRange(0, 19).Draw(rt, "kind"); {
			case kind < 10:
				s.submitEdit(inst, Commit, drawEdit(rt, inst.installer.InForce().Tables, fmt.Sprint("e", step)))
			case kind == 10:
				s.submitEdit(inst, Withdraw, table.Edit{ID: fmt.Sprint("e", rapid.IntRange(0, step).Draw(rt, "edit"))})
			case kind == 11:
				s.submitEdit(inst, Lookup, table.Edit{ID: fmt.Sprint("e", rapid.IntRange(0, step).Draw(rt, "edit"))})
			case kind == 12:
				s.advance(time.Duration(rapid.IntRange(1, 12).Draw(rt, "minutes")) * time.Minute)
			case kind < 17:
				s.toggleFault(rt, tally)
			default:
				s.advance(time.Duration(rapid.IntRange(1, 15000).Draw(rt, "milliseconds")) * time.Millisecond)
			}
		}
		s.checkConvergence()
	})
}

// sweepsPerEdit is the number of sweeps that each sweeper runs concurrently with an edit.
const sweepsPerEdit = 3

// TestProveSweep guards against a sweep that deletes a chunk that a concurrent edit references again.
// It interleaves the steps of two sweepers with an edit that references an unreferenced chunk.
func TestProveSweep(t *testing.T) {
	proptest.Run(t, "sweep", func(rt *rapid.T, tally *proptest.Tally) {
		s := newSimulation(1, 0)
		s.failf = func(format string, args ...any) { tally.Failf(rt, format, args...) }
		s.countEvent = tally.Count
		s.runToEnd(s.newAttempt(table.PutPool(table.Pool{Name: "pool0", Kind: table.PlainPool}, 0)).Next)
		s.runToEnd(s.newAttempt(table.PutRoute(table.Route{Name: "row0", Prefix: "/0", Pool: "pool0"}, 0)).Next)
		row := table.RowKey{Type: table.RouteRow, Name: "row1"}
		sweepers := []*Sweeper{NewSweeper(), NewSweeper()}
		for range 3 {
			s.runToEnd(s.newAttempt(table.PutRoute(table.Route{Name: row.Name, Prefix: "/1", Pool: "pool0"}, 0)).Next)
			for _, sweeper := range sweepers {
				s.runToEnd(sweeper.Next)
			}
			deletion := table.Operation{Action: table.Delete, Row: row, Version: s.generations[len(s.generations)-1].Generation}
			runners := []*runner{s.newRunner(s.newAttempt(deletion).Next, 1)}
			for _, sweeper := range sweepers {
				runners = append(runners, s.newRunner(sweeper.Next, sweepsPerEdit))
			}
			for len(runners) > 0 {
				tally.Operations++
				if rapid.IntRange(0, 3).Draw(rt, "pause") == 0 {
					s.now = s.now.Add(GracePeriod)
				}
				i := rapid.IntRange(0, len(runners)-1).Draw(rt, "machine")
				if runners[i].runStep() {
					runners = append(runners[:i], runners[i+1:]...)
				}
			}
			if s.generations[len(s.generations)-1].Find(row).Route != nil {
				s.failf("the edit was not accepted")
			}
		}
	})
}

// runner runs one Attempt or Sweeper, one step at a time; runsLeft is the number of runs up to Finish that remain.
type runner struct {
	simulation *simulation
	next       func(Response, time.Time) Step
	response   Response
	runsLeft   int
}

func (s *simulation) newRunner(next func(Response, time.Time) Step, runs int) *runner {
	return &runner{simulation: s, next: next, runsLeft: runs}
}

// runStep carries out one step and reports whether it was the last one of the last run.
func (r *runner) runStep() bool {
	step := r.next(r.response, r.simulation.now)
	if _, ok := step.(Finish); ok {
		r.response = Response{}
		r.runsLeft--
		return r.runsLeft == 0
	}
	r.response = r.simulation.applyStep(step)
	return false
}

// newAttempt returns an Attempt that commits an edit of one operation.
func (s *simulation) newAttempt(operation table.Operation) *Attempt {
	edit := table.Edit{ID: fmt.Sprint("e", len(s.edits)), Operations: []table.Operation{operation}}
	s.edits[edit.ID] = edit
	return New(Config{
		Edit: edit, Deadline: s.now.Add(1000 * time.Hour), Rand: s.rng,
		Cached: func(table.Hash) ([]byte, bool) { return nil, false },
	})
}

// runToEnd runs an Attempt or a sweep to its end, without interleaving.
func (s *simulation) runToEnd(next func(Response, time.Time) Step) {
	r := s.newRunner(next, 1)
	for !r.runStep() {
		continue
	}
}
