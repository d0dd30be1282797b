package edit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Purpose is what an Attempt is made for.
type Purpose int

const (
	// Commit brings the edit into force.
	Commit Purpose = iota
	// Lookup finds out what became of the edit.
	Lookup
	// Withdraw makes sure that the edit is never accepted, unless it already was.
	Withdraw
)

// Bounds of the pauses between tries.
const (
	minPause = 20 * time.Millisecond
	maxPause = time.Second
)

// Config configures an Attempt.
type Config struct {
	// Purpose is what the attempt is made for.
	Purpose Purpose
	// Edit is the edit; its id suffices for Lookup and Withdraw.
	Edit table.Edit
	// MinGeneration is the generation in force; a service that is behind it gets no edit.
	MinGeneration uint64
	// Deadline is the time after which the attempt ends at the next failure.
	Deadline time.Time
	// Cached returns chunks that need not be read again.
	Cached func(table.Hash) ([]byte, bool)
	// Rand spreads the pauses.
	Rand *rand.Rand
}

// phase is what the attempt waits for.
type phase int

const (
	phaseStart phase = iota
	phaseHead
	phaseRead
	phaseWrite
	phaseTouch
	phaseCommit
	phasePause
)

// Attempt takes one edit through the service; each call of Next answers one step.
type Attempt struct {
	config  Config
	phase   phase
	pause   time.Duration
	chunks  map[table.Hash][]byte
	head    *table.Head
	version uint64
	next    table.HeadUpdate
	written int
	reading table.Hash

	// unresolved tells that a write of the head over unresolvedVersion had no answer.
	unresolved        bool
	unresolvedVersion uint64
}

// New returns an Attempt.
func New(config Config) *Attempt {
	return &Attempt{config: config, pause: minPause, chunks: make(map[table.Hash][]byte)}
}

// Next takes the answer of the step before, an empty one at first, and returns the next step.
func (a *Attempt) Next(answer Answer, now time.Time) Step {
	switch a.phase {
	case phaseHead:
		return a.headRead(answer, now)
	case phaseRead:
		return a.chunkRead(answer, now)
	case phaseWrite:
		return a.chunkWritten(answer, now)
	case phaseTouch:
		return a.chunkFound(answer, now)
	case phaseCommit:
		return a.headWritten(answer, now)
	default:
		a.phase = phaseHead
		return ReadHead{}
	}
}

// retry begins again after a pause, or ends the attempt after its deadline.
func (a *Attempt) retry(now time.Time, why error) Step {
	if !now.Before(a.config.Deadline) {
		return a.giveUp(why)
	}
	a.phase = phasePause
	wait := a.pause/2 + time.Duration(a.config.Rand.Int64N(int64(a.pause)))
	a.pause = min(2*a.pause, maxPause)
	return Wait{For: wait}
}

// giveUp ends the attempt without an answer from the service.
func (a *Attempt) giveUp(why error) Step {
	if a.unresolved || a.config.Purpose != Commit {
		return a.finish(Result{State: Unknown, Message: fmt.Sprintf("the platform's service does not tell: %v; ask for the state of the edit later", why)})
	}
	return a.finish(Result{State: NotAccepted, Message: fmt.Sprintf("nothing was written: %v; try again later", why)})
}

func (a *Attempt) finish(result Result) Step {
	result.ID = a.config.Edit.ID
	return Finish{Result: result}
}

// headRead takes the head and looks for the edit in it.
func (a *Attempt) headRead(answer Answer, now time.Time) Step {
	switch {
	case errors.Is(answer.Err, kv.ErrNotFound):
		a.head, a.version = new(table.Head), 0
	case answer.Err != nil:
		return a.retry(now, answer.Err)
	default:
		head, err := table.DecodeHead(answer.Content)
		if err != nil {
			return a.giveUp(err)
		}
		a.head, a.version = head, answer.Version
	}
	return a.search(now)
}

// search looks for the edit among the entries, and reads those that are not at hand.
func (a *Attempt) search(now time.Time) Step {
	if entry, ok := a.head.FindRecent(a.config.Edit.ID); ok {
		return a.found(entry)
	}
	for _, hash := range a.head.Sealed {
		content, ok := a.find(hash)
		if !ok {
			return a.read(hash)
		}
		entries, err := table.DecodeHistory(content)
		if err != nil {
			return a.giveUp(err)
		}
		if entry, ok := table.FindHistoryEntry(entries, a.config.Edit.ID); ok {
			return a.found(entry)
		}
	}
	if a.version != a.unresolvedVersion {
		// A write over a version that is gone can no longer take effect.
		a.unresolved = false
	}
	return a.prepare(now)
}

// found ends the attempt with what the record of edits tells.
func (a *Attempt) found(entry table.HistoryEntry) Step {
	if entry.Generation == 0 {
		return a.finish(Result{State: NotAccepted, Message: "the edit was withdrawn before it was accepted; make a new one"})
	}
	return a.finish(Result{State: Accepted, Generation: entry.Generation})
}

// prepare builds the head that follows, once the tables are at hand.
func (a *Attempt) prepare(now time.Time) Step {
	switch a.config.Purpose {
	case Lookup:
		return a.finish(Result{State: Absent, Message: "not among the newest accepted edits; withdraw it to make sure that it never takes effect"})
	case Withdraw:
		next, err := table.Withdraw(a.head, table.NewHistoryEntry(a.config.Edit, 0, now))
		if err != nil {
			return a.giveUp(err)
		}
		return a.write(next, now)
	case Commit:
	}
	if a.head.Generation < a.config.MinGeneration {
		return a.retry(now, fmt.Errorf("the platform's service holds generation %d but %d was in force; restore its records", a.head.Generation, a.config.MinGeneration))
	}
	for _, hash := range a.head.Chunks {
		if _, ok := a.find(hash); !ok {
			return a.read(hash)
		}
	}
	tables, err := table.DecodeTables(&a.head.Manifest, a.find)
	if err != nil {
		return a.giveUp(err)
	}
	return a.apply(tables, now)
}

// apply applies the edit to the tables, whose rows may have changed since an earlier try.
func (a *Attempt) apply(tables *table.Tables, now time.Time) Step {
	following, err := table.Apply(tables, a.config.Edit)
	var conflict *table.ConflictError
	var refusal *table.ValidationError
	switch {
	case errors.As(err, &conflict):
		return a.finish(Result{State: Conflict, Rows: conflict.Rows, Message: "others changed these rows; read them and make a new edit"})
	case errors.As(err, &refusal):
		return a.finish(Result{State: Refused, Problems: refusal.Problems, Message: "correct the edit and make a new one"})
	case err != nil:
		return a.giveUp(err)
	}
	next, err := table.UpdateHead(a.head, following, table.NewHistoryEntry(a.config.Edit, following.Generation, now))
	if err != nil {
		return a.giveUp(err)
	}
	return a.write(next, now)
}

// write begins to write the chunks that the head does not name yet.
func (a *Attempt) write(next table.HeadUpdate, now time.Time) Step {
	a.next, a.written = next, 0
	for _, chunk := range next.Chunks {
		a.chunks[chunk.Hash] = chunk.Content
	}
	if a.config.Purpose == Commit {
		// What cannot be read back must not become the head.
		if _, err := table.DecodeTables(&next.Head.Manifest, a.find); err != nil {
			return a.giveUp(err)
		}
	}
	return a.writeNext(0, now)
}

// writeNext writes the next chunk over the version of its record, or the head once all are written.
func (a *Attempt) writeNext(expect uint64, now time.Time) Step {
	if a.written < len(a.next.Chunks) {
		a.phase = phaseWrite
		return WriteChunk{Chunk: a.next.Chunks[a.written], Expect: expect}
	}
	content, err := table.EncodeHead(&a.next.Head)
	if err != nil {
		return a.giveUp(err)
	}
	if !now.Before(a.config.Deadline) {
		return a.giveUp(errors.New("the time for the edit is over"))
	}
	a.phase = phaseCommit
	return WriteHead{Content: content, Expect: a.version}
}

// chunkWritten goes on to the next chunk; one that exists is written again, so that nobody who saw it unused deletes it.
func (a *Attempt) chunkWritten(answer Answer, now time.Time) Step {
	switch {
	case answer.Err == nil:
		a.written++
		return a.writeNext(0, now)
	case errors.Is(answer.Err, kv.ErrConflict):
		a.phase = phaseTouch
		return ReadChunk{Hash: a.next.Chunks[a.written].Hash}
	default:
		return a.retry(now, answer.Err)
	}
}

// chunkFound writes a chunk over the version that its record has.
func (a *Attempt) chunkFound(answer Answer, now time.Time) Step {
	switch {
	case answer.Err == nil:
		return a.writeNext(answer.Version, now)
	case errors.Is(answer.Err, kv.ErrNotFound):
		return a.writeNext(0, now)
	default:
		return a.retry(now, answer.Err)
	}
}

// headWritten ends the attempt if the write took effect, and otherwise finds out.
func (a *Attempt) headWritten(answer Answer, now time.Time) Step {
	switch {
	case answer.Err == nil && a.config.Purpose == Withdraw:
		return a.found(table.HistoryEntry{})
	case answer.Err == nil:
		return a.finish(Result{State: Accepted, Generation: a.next.Head.Generation})
	case errors.Is(answer.Err, kv.ErrConflict), errors.Is(answer.Err, kv.ErrThrottled):
	default:
		a.unresolved, a.unresolvedVersion = true, a.version
	}
	return a.retry(now, answer.Err)
}

// CachedChunks returns the chunks at hand that the last head read names, for the next attempt.
func (a *Attempt) CachedChunks() map[table.Hash][]byte {
	kept := make(map[table.Hash][]byte)
	if a.head == nil {
		return kept
	}
	for hash := range a.head.ReferencedChunks() {
		if content, ok := a.find(hash); ok {
			kept[hash] = content
		}
	}
	return kept
}

// find returns a chunk that is at hand.
func (a *Attempt) find(hash table.Hash) ([]byte, bool) {
	if content, ok := a.chunks[hash]; ok {
		return content, true
	}
	return a.config.Cached(hash)
}

// read reads a chunk that is not at hand.
func (a *Attempt) read(hash table.Hash) Step {
	a.phase, a.reading = phaseRead, hash
	return ReadChunk{Hash: hash}
}

// chunkRead keeps a chunk; one that is gone tells that the head moved on.
func (a *Attempt) chunkRead(answer Answer, now time.Time) Step {
	if answer.Err != nil {
		return a.retry(now, answer.Err)
	}
	if table.HashOf(answer.Content) != a.reading {
		return a.retry(now, fmt.Errorf("chunk %s differs from its hash", a.reading))
	}
	a.chunks[a.reading] = answer.Content
	return a.search(now)
}
