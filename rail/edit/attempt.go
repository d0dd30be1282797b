package edit

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Purpose is the goal of an Attempt.
type Purpose int

const (
	// Commit gets the edit accepted as the next generation.
	Commit Purpose = iota
	// Lookup reads the state of an earlier edit and writes nothing.
	Lookup
	// Withdraw records the edit as withdrawn, so that it is never accepted; an edit that was already accepted stays accepted.
	Withdraw
)

// Bounds of the exponential backoff between retries.
const (
	minBackoff = 20 * time.Millisecond
	maxBackoff = time.Second
)

// Config configures an Attempt.
type Config struct {
	// Purpose is the goal of the attempt.
	Purpose Purpose
	// Edit is the edit. Lookup uses only its ID; Withdraw also records its author and a summary of its operations.
	Edit table.Edit
	// MinGeneration is the generation in force; nothing is committed to a store that holds an older one.
	MinGeneration uint64
	// Deadline is the time after which the attempt no longer retries or writes the head.
	Deadline time.Time
	// Cached returns the content of a chunk that the caller already has, and reports whether it has it.
	Cached func(table.Hash) ([]byte, bool)
	// Rand is the source of the jitter of the backoff.
	Rand *rand.Rand
}

// phase is the step whose response an Attempt or a Sweeper waits for.
type phase int

const (
	phaseStart phase = iota
	phaseReadHead
	// phaseRead waits for a ReadChunk of an Attempt, or for the ListChunks of a Sweeper.
	phaseRead
	// phaseWrite waits for a WriteChunk of an Attempt, or for a DeleteChunk of a Sweeper.
	phaseWrite
	// phaseReadVersion waits for a ReadChunk that reads the version of a chunk that already exists.
	phaseReadVersion
	phaseWriteHead
	phaseWait
)

// Attempt is the state machine that commits, looks up or withdraws one edit in the platform's store. Each try begins by reading
// the head; a try that fails for a temporary reason is repeated until the deadline.
type Attempt struct {
	config  Config
	phase   phase
	backoff time.Duration
	// chunks holds the contents of the chunks that the attempt has read or is to write.
	chunks map[table.Hash][]byte
	// head is the head that was read last, and version the version of its record.
	head    *table.Head
	version uint64
	// headUpdate is the next head with the chunks to write before it, and chunksWritten the number of those written.
	headUpdate    table.HeadUpdate
	chunksWritten int
	// readingChunk is the hash of the chunk that is being read.
	readingChunk table.Hash

	// inDoubt reports whether a write of the head, conditional on inDoubtVersion, failed with an unknown effect, so that it
	// may still take effect.
	inDoubt        bool
	inDoubtVersion uint64
}

// New returns an Attempt whose first step reads the head.
func New(config Config) *Attempt {
	return &Attempt{config: config, backoff: minBackoff, chunks: make(map[table.Hash][]byte)}
}

// Next processes the response to the previous step, which is empty on the first call, and returns the next step.
func (a *Attempt) Next(response Response, now time.Time) Step {
	switch a.phase {
	case phaseReadHead:
		return a.handleHead(response, now)
	case phaseRead:
		return a.handleChunk(response, now)
	case phaseWrite:
		return a.handleChunkWrite(response, now)
	case phaseReadVersion:
		return a.handleChunkVersion(response, now)
	case phaseWriteHead:
		return a.handleHeadWrite(response, now)
	default:
		a.phase = phaseReadHead
		return ReadHead{}
	}
}

// retryAfterBackoff starts again from the head after a backoff, or ends the attempt once the deadline has passed.
func (a *Attempt) retryAfterBackoff(now time.Time, cause error) Step {
	if !now.Before(a.config.Deadline) {
		return a.giveUp(cause)
	}
	a.phase = phaseWait
	wait := a.backoff/2 + time.Duration(a.config.Rand.Int64N(int64(a.backoff)))
	a.backoff = min(2*a.backoff, maxBackoff)
	return Wait{For: wait}
}

// giveUp ends the attempt because of an error. The state is NotAccepted if the edit was to be
// committed and no write of it may still take effect, and Unknown otherwise.
func (a *Attempt) giveUp(cause error) Step {
	if a.inDoubt || a.config.Purpose != Commit {
		return a.finish(Result{State: Unknown, Message: fmt.Sprintf("the platform's service does not tell: %v; ask for the state of the edit later", cause)})
	}
	return a.finish(Result{State: NotAccepted, Message: fmt.Sprintf("nothing was written: %v; try again later", cause)})
}

func (a *Attempt) finish(result Result) Step {
	result.ID = a.config.Edit.ID
	return Finish{Result: result}
}

// handleHead decodes the head and searches its history for the edit.
func (a *Attempt) handleHead(response Response, now time.Time) Step {
	switch {
	case errors.Is(response.Err, kv.ErrNotFound):
		a.head, a.version = new(table.Head), 0
	case response.Err != nil:
		return a.retryAfterBackoff(now, response.Err)
	default:
		head, err := table.DecodeHead(response.Content)
		if err != nil {
			return a.giveUp(err)
		}
		a.head, a.version = head, response.Version
	}
	return a.findEdit(now)
}

// findEdit searches the history for the edit, after reading the history chunks that are not cached, and prepares the
// update if the history does not contain the edit.
func (a *Attempt) findEdit(now time.Time) Step {
	if entry, ok := a.head.FindRecent(a.config.Edit.ID); ok {
		return a.finishFromEntry(entry)
	}
	for _, hash := range a.head.Sealed {
		content, ok := a.findChunk(hash)
		if !ok {
			return a.readChunk(hash)
		}
		entries, err := table.DecodeHistory(content)
		if err != nil {
			return a.giveUp(err)
		}
		if entry, ok := table.FindHistoryEntry(entries, a.config.Edit.ID); ok {
			return a.finishFromEntry(entry)
		}
	}
	if a.version != a.inDoubtVersion {
		// The head has a newer version, so the earlier conditional write can no longer take effect.
		a.inDoubt = false
	}
	return a.prepareUpdate(now)
}

// finishFromEntry ends the attempt with the state that the history records.
func (a *Attempt) finishFromEntry(entry table.HistoryEntry) Step {
	if entry.Generation == 0 {
		return a.finish(Result{State: NotAccepted, Message: "the edit was withdrawn before it was accepted; make a new one"})
	}
	return a.finish(Result{State: Accepted, Generation: entry.Generation})
}

// prepareUpdate continues with an edit that is not in the history. For Commit it builds the next head, after reading the
// chunks of the tables that are not cached. For Withdraw it builds a head with the same tables. A Lookup ends here.
func (a *Attempt) prepareUpdate(now time.Time) Step {
	switch a.config.Purpose {
	case Lookup:
		return a.finish(Result{State: Absent, Message: "not among the newest accepted edits; withdraw it to make sure that it never takes effect"})
	case Withdraw:
		update, err := table.Withdraw(a.head, table.NewHistoryEntry(a.config.Edit, 0, now))
		if err != nil {
			return a.giveUp(err)
		}
		return a.writeUpdate(update, now)
	case Commit:
	}
	if a.head.Generation < a.config.MinGeneration {
		return a.retryAfterBackoff(now, fmt.Errorf("the platform's service holds generation %d but %d was in force; restore its records", a.head.Generation, a.config.MinGeneration))
	}
	for _, hash := range a.head.Chunks {
		if _, ok := a.findChunk(hash); !ok {
			return a.readChunk(hash)
		}
	}
	tables, err := table.DecodeTables(&a.head.Manifest, a.findChunk)
	if err != nil {
		return a.giveUp(err)
	}
	return a.applyEdit(tables, now)
}

// applyEdit applies the edit to the current tables, whose rows may have changed since an earlier try.
func (a *Attempt) applyEdit(tables *table.Tables, now time.Time) Step {
	following, err := table.Apply(tables, a.config.Edit)
	var conflict *table.ConflictError
	var invalid *table.ValidationError
	switch {
	case errors.As(err, &conflict):
		return a.finish(Result{State: Conflict, Rows: conflict.Rows, Message: "others changed these rows; read them and make a new edit"})
	case errors.As(err, &invalid):
		return a.finish(Result{State: Refused, Problems: invalid.Problems, Message: "correct the edit and make a new one"})
	case err != nil:
		return a.giveUp(err)
	}
	update, err := table.UpdateHead(a.head, following, table.NewHistoryEntry(a.config.Edit, following.Generation, now))
	if err != nil {
		return a.giveUp(err)
	}
	return a.writeUpdate(update, now)
}

// writeUpdate starts writing the update: the chunks that the current head does not reference, then the new head. For a Commit,
// it first checks that the tables can be decoded.
func (a *Attempt) writeUpdate(update table.HeadUpdate, now time.Time) Step {
	a.headUpdate, a.chunksWritten = update, 0
	for _, chunk := range update.Chunks {
		a.chunks[chunk.Hash] = chunk.Content
	}
	if a.config.Purpose == Commit {
		// A head whose tables cannot be decoded must not be committed.
		if _, err := table.DecodeTables(&update.Head.Manifest, a.findChunk); err != nil {
			return a.giveUp(err)
		}
	}
	return a.writeNext(0, now)
}

// writeNext writes the next chunk if its record has the version expect, or the head once all chunks are written.
func (a *Attempt) writeNext(expect uint64, now time.Time) Step {
	if a.chunksWritten < len(a.headUpdate.Chunks) {
		a.phase = phaseWrite
		return WriteChunk{Chunk: a.headUpdate.Chunks[a.chunksWritten], Expect: expect}
	}
	content, err := table.EncodeHead(&a.headUpdate.Head)
	if err != nil {
		return a.giveUp(err)
	}
	if !now.Before(a.config.Deadline) {
		return a.giveUp(errors.New("the time for the edit is over"))
	}
	a.phase = phaseWriteHead
	return WriteHead{Content: content, Expect: a.version}
}

// handleChunkWrite continues with the next chunk, or reads the version of a chunk that already exists.
//
// A chunk that already exists is written again to change its version, so that a sweep
// that saw it unreferenced cannot delete it.
func (a *Attempt) handleChunkWrite(response Response, now time.Time) Step {
	switch {
	case response.Err == nil:
		a.chunksWritten++
		return a.writeNext(0, now)
	case errors.Is(response.Err, kv.ErrConflict):
		a.phase = phaseReadVersion
		return ReadChunk{Hash: a.headUpdate.Chunks[a.chunksWritten].Hash}
	default:
		return a.retryAfterBackoff(now, response.Err)
	}
}

// handleChunkVersion writes a chunk that already existed, on the condition that its record still has the version just
// read, or is still absent.
func (a *Attempt) handleChunkVersion(response Response, now time.Time) Step {
	switch {
	case response.Err == nil:
		return a.writeNext(response.Version, now)
	case errors.Is(response.Err, kv.ErrNotFound):
		return a.writeNext(0, now)
	default:
		return a.retryAfterBackoff(now, response.Err)
	}
}

// handleHeadWrite ends the attempt if the write succeeded, and otherwise reads the head again to determine whether it
// took effect.
func (a *Attempt) handleHeadWrite(response Response, now time.Time) Step {
	switch {
	case response.Err == nil && a.config.Purpose == Withdraw:
		return a.finishFromEntry(table.HistoryEntry{})
	case response.Err == nil:
		return a.finish(Result{State: Accepted, Generation: a.headUpdate.Head.Generation})
	case errors.Is(response.Err, kv.ErrConflict), errors.Is(response.Err, kv.ErrThrottled):
	default:
		a.inDoubt, a.inDoubtVersion = true, a.version
	}
	return a.retryAfterBackoff(now, response.Err)
}

// CachedChunks returns the contents, as far as they are known, of the chunks referenced by the head read last, for reuse
// by the next Attempt.
func (a *Attempt) CachedChunks() map[table.Hash][]byte {
	cached := make(map[table.Hash][]byte)
	if a.head == nil {
		return cached
	}
	for hash := range a.head.ReferencedChunks() {
		if content, ok := a.findChunk(hash); ok {
			cached[hash] = content
		}
	}
	return cached
}

// findChunk returns a chunk that was read or written by this attempt or is in the caller's cache.
func (a *Attempt) findChunk(hash table.Hash) ([]byte, bool) {
	if content, ok := a.chunks[hash]; ok {
		return content, true
	}
	return a.config.Cached(hash)
}

// readChunk returns the step that reads a chunk.
func (a *Attempt) readChunk(hash table.Hash) Step {
	a.phase, a.readingChunk = phaseRead, hash
	return ReadChunk{Hash: hash}
}

// handleChunk adds a chunk to those of the attempt. If the read fails, the attempt starts again from the head: a
// missing chunk means that the head has changed.
func (a *Attempt) handleChunk(response Response, now time.Time) Step {
	if response.Err != nil {
		return a.retryAfterBackoff(now, response.Err)
	}
	if table.HashOf(response.Content) != a.readingChunk {
		return a.retryAfterBackoff(now, fmt.Errorf("chunk %s differs from its hash", a.readingChunk))
	}
	a.chunks[a.readingChunk] = response.Content
	return a.findEdit(now)
}
