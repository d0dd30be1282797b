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

var errNoResponse = errors.New("no response")

// Parameters of the simulation.
const (
	callTimeout       = 3 * time.Second
	heartbeatInterval = time.Second
	pollInterval      = 5 * time.Second
	maxInstallDelay   = 12 * time.Second
	sweepInterval     = 4 * time.Minute

	peersPerAnnouncement = 2 // heartbeats that are sent after a generation was put in force
	maxDisconnect        = 20 * time.Second
	maxFreeze            = 40 * time.Second
)

// scheduledEvent is a function that runs at a virtual time; sequence orders events that are due together.
type scheduledEvent struct {
	due      time.Time
	sequence int
	run      func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].due.Before(q[j].due) || q[i].due.Equal(q[j].due) && q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

type record struct {
	content []byte
	version uint64
}

// instance is a simulated instance.
type instance struct {
	index       int
	incarnation int
	installer   *install.Installer
	sweeper     *Sweeper
	frozenUntil time.Time
	// storeLost reports whether the instance cannot reach the store, and peersLost whether it cannot reach its peers.
	storeLost           bool
	peersLost           bool
	lastFaultAt         time.Time
	installedGeneration uint64
	rereadPending       bool
	newestReported      uint64
	lastContactAt       time.Time
}

// recordFault records that a fault lasts until the given time, which may be in the future.
func (inst *instance) recordFault(until time.Time) {
	if until.After(inst.lastFaultAt) {
		inst.lastFaultAt = until
	}
}

// simulation models the platform's store, the instances and the operators in virtual time.
type simulation struct {
	now        time.Time
	sequence   int
	queue      eventQueue
	rng        *rand.Rand
	instances  []*instance
	checker    *invariant.Checker
	failf      func(format string, args ...any)
	countEvent func(kind string)

	head            record
	chunks          map[table.Hash]record
	version         uint64
	outage          bool
	slowStore       bool
	responsesToLose int // the number of responses to writes that are still to be lost
	writesToDelay   int // the number of writes that are still to be delayed

	generations []*table.Tables
	// acceptedGeneration is the generation in which each edit was accepted.
	acceptedGeneration map[string]uint64
	edits              map[string]table.Edit
	results            map[string]Result
}

func (s *simulation) schedule(d time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, scheduledEvent{due: s.now.Add(d), sequence: s.sequence, run: run})
}

// advance runs the events of the next d of virtual time.
func (s *simulation) advance(d time.Duration) {
	end := s.now.Add(d)
	for len(s.queue) > 0 && !s.queue[0].due.After(end) {
		next := heap.Pop(&s.queue).(scheduledEvent)
		s.now = next.due
		next.run()
	}
	s.now = end
}

// scheduleOn schedules run on the instance after d, or later if the instance is frozen then; it never runs if the
// instance restarts first.
func (s *simulation) scheduleOn(inst *instance, d time.Duration, run func()) {
	incarnation := inst.incarnation
	var runUnlessFrozen func()
	runUnlessFrozen = func() {
		if inst.incarnation != incarnation {
			return
		}
		if inst.frozenUntil.After(s.now) {
			s.schedule(inst.frozenUntil.Sub(s.now), runUnlessFrozen)
			return
		}
		run()
	}
	s.schedule(d, runUnlessFrozen)
}

// storeLatency returns a random one-way latency between an instance and the store.
func (s *simulation) storeLatency() time.Duration {
	if s.slowStore {
		return time.Duration(s.rng.IntN(1400)) * time.Millisecond
	}
	return time.Duration(1+s.rng.IntN(5)) * time.Millisecond
}

// disconnectFor disconnects the instance from the store for d.
func (s *simulation) disconnectFor(inst *instance, d time.Duration) {
	inst.storeLost = true
	inst.recordFault(s.now)
	s.schedule(d, func() {
		inst.storeLost = false
		inst.recordFault(s.now)
	})
}

// callStore runs one call of the store; it times out during an outage or a disconnection, or if its response is lost.
func (s *simulation) callStore(inst *instance, write bool, apply func() Response, handle func(Response)) {
	responded := false
	respond := func(response Response) {
		if !responded {
			responded = true
			handle(response)
		}
	}
	s.scheduleOn(inst, callTimeout, func() { respond(Response{Err: errNoResponse}) })
	latency, lost := s.storeLatency(), false
	if write && s.writesToDelay > 0 {
		s.writesToDelay--
		latency = callTimeout + time.Duration(s.rng.IntN(5000))*time.Millisecond
		if s.rng.IntN(2) == 0 {
			// The connection is lost while the write is in progress.
			defer s.disconnectFor(inst, maxDisconnect)
		}
	} else if write && s.responsesToLose > 0 {
		s.responsesToLose--
		lost = true
	}
	if inst.storeLost {
		return
	}
	s.schedule(latency, func() {
		if s.outage {
			return
		}
		result := apply()
		if !lost && !inst.storeLost {
			s.scheduleOn(inst, s.storeLatency(), func() { respond(result) })
		}
	})
}

// performStep carries out a step and passes the response to handle.
func (s *simulation) performStep(inst *instance, step Step, handle func(Response)) {
	if wait, ok := step.(Wait); ok {
		s.scheduleOn(inst, wait.For, func() { handle(Response{}) })
		return
	}
	write := false
	switch step.(type) {
	case WriteChunk, WriteHead, DeleteChunk:
		write = true
	}
	s.callStore(inst, write, func() Response { return s.applyStep(step) }, handle)
}

// applyStep applies a step to the store and returns the response.
func (s *simulation) applyStep(step Step) Response {
	switch step := step.(type) {
	case ReadHead:
		return recordResponse(s.head)
	case ReadChunk:
		return recordResponse(s.chunks[step.Hash])
	case WriteChunk:
		if s.chunks[step.Chunk.Hash].version != step.Expect {
			return Response{Err: kv.ErrConflict}
		}
		s.version++
		s.chunks[step.Chunk.Hash] = record{step.Chunk.Content, s.version}
	case WriteHead:
		return s.writeHead(step)
	case ListChunks:
		return s.listChunks()
	case DeleteChunk:
		return s.deleteChunk(step)
	}
	return Response{}
}

func recordResponse(r record) Response {
	if r.version == 0 {
		return Response{Err: kv.ErrNotFound}
	}
	return Response{Content: r.content, Version: r.version}
}

func (s *simulation) listChunks() Response {
	listed := make([]StoredChunk, 0, len(s.chunks))
	for hash, r := range s.chunks {
		listed = append(listed, StoredChunk{hash, r.version})
	}
	return Response{Listed: listed}
}

func (s *simulation) deleteChunk(step DeleteChunk) Response {
	if s.chunks[step.Hash].version != step.Expect {
		return Response{Err: kv.ErrConflict}
	}
	s.countEvent("swept-chunk")
	delete(s.chunks, step.Hash)
	head, _ := table.DecodeHead(s.head.content)
	if head.ReferencedChunks()[step.Hash] {
		s.failf("deleted a chunk that the head references")
	}
	return Response{}
}

// writeHead writes a new head and checks that it is a valid successor of the previous one.
func (s *simulation) writeHead(step WriteHead) Response {
	if s.head.version != step.Expect {
		s.countEvent("lost-race")
		return Response{Err: kv.ErrConflict}
	}
	s.version++
	s.head = record{step.Content, s.version}
	head, err := table.DecodeHead(step.Content)
	if err != nil {
		s.failf("decode head: %v", err)
		return Response{}
	}
	for hash := range head.ReferencedChunks() {
		if s.chunks[hash].version == 0 {
			s.failf("generation %d references chunk %s, which is not stored", head.Generation, hash)
		}
	}
	before := s.generations[len(s.generations)-1]
	if head.Generation == before.Generation {
		return Response{}
	}
	tables, err := table.DecodeTables(&head.Manifest, func(hash table.Hash) ([]byte, bool) {
		r, ok := s.chunks[hash]
		return r.content, ok
	})
	if err != nil || len(tables.Validate()) > 0 || head.Generation != before.Generation+1 {
		s.failf("generation %d after %d is not a valid successor: %v", head.Generation, before.Generation, err)
		return Response{}
	}
	s.checkCommit(head, before, tables)
	return Response{}
}

// checkCommit records a new generation and checks that it changes only the rows of its edit, and that no edit is accepted twice.
func (s *simulation) checkCommit(head *table.Head, before, tables *table.Tables) {
	entry := head.Recent[len(head.Recent)-1]
	if earlier, ok := s.acceptedGeneration[entry.ID]; ok {
		s.failf("edit %s was accepted in generation %d and again in generation %d", entry.ID, earlier, head.Generation)
	}
	editedRows := make(map[table.RowKey]bool)
	for _, operation := range s.edits[entry.ID].Operations {
		editedRows[operation.Row] = true
		if old := before.Find(operation.Row); old.Version() != operation.Version {
			s.failf("edit %s overwrote %s at version %d, want version %d", entry.ID, operation.Row, old.Version(), operation.Version)
		}
	}
	for _, operation := range table.Diff(before, tables) {
		if !editedRows[operation.Row] && !editedRows[table.RowKey{Type: table.PoolRow, Name: operation.Row.Pool}] {
			s.failf("edit %s changed %s, which is not among its rows", entry.ID, operation.Row)
		}
	}
	s.acceptedGeneration[entry.ID] = tables.Generation
	s.generations = append(s.generations, tables)
	s.notifyWatches()
	s.checkInstallDelay(tables.Generation)
}

// notifyWatches sends the head to the watches of some instances, at random; some receive it a second time later, as
// after a reconnection.
func (s *simulation) notifyWatches() {
	content := s.head.content
	for _, inst := range s.instances {
		if inst.storeLost || s.rng.IntN(2) == 0 {
			continue
		}
		s.scheduleOn(inst, s.storeLatency(), func() { s.handleHead(inst, Response{Content: content, Version: 1}) })
		if s.rng.IntN(4) == 0 {
			s.countEvent("repeated-watch")
			s.scheduleOn(inst, time.Duration(s.rng.IntN(20000))*time.Millisecond, func() { s.handleHead(inst, Response{Content: content, Version: 1}) })
		}
	}
}

// checkInstallDelay checks that each instance without faults has the generation in force within maxInstallDelay.
func (s *simulation) checkInstallDelay(generation uint64) {
	since := s.now
	s.schedule(maxInstallDelay, func() {
		for _, inst := range s.instances {
			if inst.lastFaultAt.Before(since) && !s.isFaulty(inst) && inst.installer.InForce().Manifest.Generation < generation {
				s.failf("instance %d has generation %d in force %s after generation %d was accepted",
					inst.index, inst.installer.InForce().Manifest.Generation, maxInstallDelay, generation)
			}
		}
	})
}

func (s *simulation) isFaulty(inst *instance) bool {
	return inst.storeLost || inst.peersLost || inst.frozenUntil.After(s.now)
}

// handleHead passes a head read from the store to the installer.
func (s *simulation) handleHead(inst *instance, response Response) {
	if errors.Is(response.Err, kv.ErrNotFound) {
		s.handleEvent(inst, install.HeadAbsent{})
		return
	}
	if response.Err != nil {
		return
	}
	head, err := table.DecodeHead(response.Content)
	if err != nil {
		s.failf("decode head: %v", err)
		return
	}
	s.handleEvent(inst, install.HeadRead{Manifest: head.Manifest})
}

// handleEvent passes an event to the installer and carries out its actions.
func (s *simulation) handleEvent(inst *instance, event install.Event) {
	s.recordContact(inst, event)
	for _, action := range inst.installer.Handle(event, s.now) {
		switch action := action.(type) {
		case install.Fetch:
			s.fetchChunks(inst, action, nil)
		case install.ReadHead:
			s.scheduleReread(inst)
		case install.Install:
			if g := action.InForce.Manifest.Generation; g <= inst.installedGeneration {
				s.failf("instance %d put generation %d in force after generation %d", inst.index, g, inst.installedGeneration)
			}
			inst.installedGeneration = action.InForce.Manifest.Generation
			s.checkInForce(inst, action.InForce)
			for range peersPerAnnouncement {
				s.sendHeartbeat(inst, s.instances[s.rng.IntN(len(s.instances))])
			}
		case install.SetReady:
			if action.Ready && inst.installedGeneration < inst.newestReported {
				s.failf("instance %d is ready at generation %d although generation %d was reported", inst.index, inst.installedGeneration, inst.newestReported)
			}
		}
	}
	if inst.installer.Ready() && s.now.Sub(inst.lastContactAt) > install.DefaultIsolationTimeout {
		s.failf("instance %d is ready %s after its last contact", inst.index, s.now.Sub(inst.lastContactAt))
	}
}

// recordContact tracks the newest generation reported to the instance and its last contact, independently of the installer.
func (s *simulation) recordContact(inst *instance, event install.Event) {
	switch event := event.(type) {
	case install.HeadRead:
		inst.newestReported, inst.lastContactAt = max(inst.newestReported, event.Manifest.Generation), s.now
	case install.GenerationOffered:
		inst.newestReported, inst.lastContactAt = max(inst.newestReported, event.Generation), s.now
	case install.HeadAbsent:
		inst.lastContactAt = s.now
	case install.Fetched:
		if !event.Failed {
			inst.lastContactAt = s.now
		}
	}
}

// scheduleReread reads the head again after a second, unless such a read is already pending.
func (s *simulation) scheduleReread(inst *instance) {
	if inst.rereadPending {
		return
	}
	inst.rereadPending = true
	s.scheduleOn(inst, time.Second, func() {
		inst.rereadPending = false
		s.performStep(inst, ReadHead{}, func(response Response) { s.handleHead(inst, response) })
	})
}

// checkInForce checks that the tables that an instance put in force are those that were accepted.
func (s *simulation) checkInForce(inst *instance, inForce *install.InForce) {
	accepted := s.generations[inForce.Manifest.Generation]
	if len(table.Diff(accepted, inForce.Tables)) > 0 {
		s.failf("instance %d has other rows in force than were accepted in generation %d", inst.index, accepted.Generation)
	}
}

// fetchChunks fetches the remaining hashes one by one; contents holds those fetched so far.
func (s *simulation) fetchChunks(inst *instance, action install.Fetch, contents [][]byte) {
	if len(action.Hashes) == len(contents) {
		s.handleEvent(inst, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents})
		return
	}
	hash := action.Hashes[len(contents)]
	handle := func(response Response) {
		if response.Err != nil {
			s.handleEvent(inst, install.Fetched{Generation: action.Generation, From: action.From, Contents: contents, Failed: true})
			return
		}
		s.fetchChunks(inst, action, append(contents, response.Content))
	}
	if action.From.Peer == "" {
		s.performStep(inst, ReadChunk{Hash: hash}, handle)
		return
	}
	var peer int
	_, _ = fmt.Sscan(action.From.Peer, &peer)
	s.callPeer(inst, s.instances[peer], func() Response {
		content, ok := s.instances[peer].installer.InForce().Contents[hash]
		if !ok {
			return Response{Err: kv.ErrNotFound}
		}
		return Response{Content: content}
	}, handle)
}

// callPeer runs one call from an instance to a peer.
func (s *simulation) callPeer(from, to *instance, apply func() Response, handle func(Response)) {
	responded := false
	respond := func(response Response) {
		if !responded {
			responded = true
			handle(response)
		}
	}
	s.scheduleOn(from, callTimeout, func() { respond(Response{Err: errNoResponse}) })
	if from.peersLost || to.peersLost {
		return
	}
	s.scheduleOn(to, time.Duration(1+s.rng.IntN(40))*time.Millisecond, func() {
		result := apply()
		s.scheduleOn(from, time.Duration(1+s.rng.IntN(40))*time.Millisecond, func() { respond(result) })
	})
}
