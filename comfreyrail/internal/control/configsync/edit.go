package configsync

import (
	"context"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// EditTimeout is the time after which an attempt to commit, look up or withdraw an edit neither retries a failed call
// nor writes the head.
const EditTimeout = 10 * time.Second

// Times of the wait until an accepted edit is in force at this instance.
const (
	maxInForceWait      = 2 * time.Second
	inForcePollInterval = 2 * time.Millisecond
)

// Edit commits an edit and returns the result, which has the reason if the edit was not accepted. The end of ctx does
// not cancel the edit.
func (s *Sync) Edit(ctx context.Context, change table.Edit) edit.Result {
	return s.runAttempt(ctx, edit.Commit, change)
}

// Lookup returns the state of the edit with the ID.
func (s *Sync) Lookup(ctx context.Context, id string) edit.Result {
	return s.runAttempt(ctx, edit.Lookup, table.Edit{ID: id})
}

// Withdraw withdraws the edit with the ID and returns the result. The edit is never accepted afterwards, unless the
// state of the result is edit.Accepted or edit.Unknown.
func (s *Sync) Withdraw(ctx context.Context, id, author string) edit.Result {
	return s.runAttempt(ctx, edit.Withdraw, table.Edit{ID: id, Author: author})
}

// runAttempt performs the steps of an attempt in order and returns its result.
func (s *Sync) runAttempt(ctx context.Context, purpose edit.Purpose, change table.Edit) edit.Result {
	ctx = context.WithoutCancel(ctx)
	attempt := edit.New(edit.Config{
		Purpose: purpose, Edit: change, MinGeneration: s.control.Snapshot().Tables.Generation,
		Deadline: time.Now().Add(EditTimeout), Cached: s.cachedChunk, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	var response edit.Response
	for {
		step := attempt.Next(response, time.Now())
		if finish, ok := step.(edit.Finish); ok {
			if purpose == edit.Commit {
				s.count("config.edit." + string(finish.Result.State))
			}
			s.finish(ctx, attempt, finish.Result)
			return finish.Result
		}
		response = s.performStep(ctx, step)
	}
}

// finish caches the chunks for the next attempt, and puts an accepted edit in force at this instance without waiting
// for the next read of the head.
func (s *Sync) finish(ctx context.Context, attempt *edit.Attempt, result edit.Result) {
	chunks := attempt.CachedChunks()
	s.mu.Lock()
	s.cachedChunks = chunks
	s.mu.Unlock()
	s.log.WithField("edit", result.ID).WithField("generation", result.Generation).Infof("edit is %s", result.State)
	if result.State == edit.Accepted {
		s.readHead(ctx)
		s.awaitInForce(ctx, result.Generation)
	}
}

// awaitInForce waits up to maxInForceWait until the generation is in force here, so that an operator who reads the
// tables after an edit sees its effect.
func (s *Sync) awaitInForce(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, maxInForceWait)
	defer cancel()
	for ctx.Err() == nil && s.control.Snapshot().Tables.Generation < generation {
		_ = pause.For(ctx, inForcePollInterval)
	}
}

// cachedChunk returns the chunk with the hash if it is in force or was cached by the previous attempt.
func (s *Sync) cachedChunk(hash table.Hash) (content []byte, ok bool) {
	if content, ok = s.control.Snapshot().InForce.Contents[hash]; ok {
		return content, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok = s.cachedChunks[hash]
	return content, ok
}

// performStep makes the call of one step to the store, or waits, and returns the result.
func (s *Sync) performStep(ctx context.Context, step edit.Step) edit.Response {
	if wait, ok := step.(edit.Wait); ok {
		_ = pause.For(ctx, wait.For)
		return edit.Response{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch step := step.(type) {
	case edit.ReadHead:
		return s.recordResponse(s.store.Get(ctx, headKey))
	case edit.ReadChunk:
		return s.recordResponse(s.store.Get(ctx, chunkPrefix+step.Hash.String()))
	case edit.WriteChunk:
		_, err := s.store.Put(ctx, chunkPrefix+step.Chunk.Hash.String(), kv.Put{Value: step.Chunk.Content, Expect: step.Expect})
		return edit.Response{Err: err}
	case edit.WriteHead:
		_, err := s.store.Put(ctx, headKey, kv.Put{Value: step.Content, Expect: step.Expect})
		return edit.Response{Err: err}
	case edit.ListChunks:
		return s.chunkResponse(s.store.List(ctx, chunkPrefix))
	case edit.DeleteChunk:
		return edit.Response{Err: s.store.Delete(ctx, chunkPrefix+step.Hash.String(), step.Expect)}
	}
	return edit.Response{Err: errors.Errorf("step %T is unknown", step)}
}

func (s *Sync) recordResponse(record kv.Record, err error) edit.Response {
	return edit.Response{Content: record.Value, Version: record.Version, Err: err}
}

// chunkResponse returns a response with the hashes and versions of the records; it skips records with malformed keys.
func (s *Sync) chunkResponse(records []kv.Record, err error) edit.Response {
	response := edit.Response{Err: err}
	for _, record := range records {
		hash, parseErr := table.ParseHash(strings.TrimPrefix(record.Key, chunkPrefix))
		if parseErr != nil {
			s.log.WithError(parseErr).Warn("record in the store has a malformed key")
			continue
		}
		response.Listed = append(response.Listed, edit.StoredChunk{Hash: hash, Version: record.Version})
	}
	return response
}

// sweep periodically deletes unused chunks while IsWatcher returns true; the interval grows with the fleet.
func (s *Sync) sweep(ctx context.Context) {
	for ctx.Err() == nil {
		interval := edit.GracePeriod
		if s.MemberCount != nil {
			interval = max(interval, time.Duration(float64(s.MemberCount())/sweepsPerSecond)*time.Second)
		}
		_ = pause.For(ctx, pause.Jitter(interval))
		if ctx.Err() == nil && (s.IsWatcher == nil || s.IsWatcher()) {
			s.sweepOnce(ctx, time.Now())
		}
	}
}

// sweepOnce performs the steps of one sweep.
func (s *Sync) sweepOnce(ctx context.Context, now time.Time) {
	var response edit.Response
	for {
		step := s.sweeper.Next(response, now)
		if _, ok := step.(edit.Finish); ok {
			return
		}
		response = s.performStep(ctx, step)
	}
}

// History returns up to limit entries of the history of edits, newest first.
func (s *Sync) History(ctx context.Context, limit int) (entries []table.HistoryEntry, err error) {
	defer errors.DeferredAnnotatef(&err, "read history")
	response := s.performStep(ctx, edit.ReadHead{})
	if errors.Is(response.Err, kv.ErrNotFound) {
		return nil, nil
	}
	if response.Err != nil {
		return nil, response.Err
	}
	head, err := table.DecodeHead(response.Content)
	if err != nil {
		return nil, err
	}
	s.handleEvent(ctx, install.HeadRead{Manifest: head.Manifest})
	entries = appendReversed(nil, head.Recent)
	for i := len(head.Sealed) - 1; i >= 0 && len(entries) < limit; i-- {
		response = s.performStep(ctx, edit.ReadChunk{Hash: head.Sealed[i]})
		if response.Err != nil {
			return nil, response.Err
		}
		sealed, decodeErr := table.DecodeHistory(response.Content)
		if decodeErr != nil {
			return nil, decodeErr
		}
		entries = appendReversed(entries, sealed)
	}
	return entries[:min(limit, len(entries))], nil
}

// appendReversed appends older to entries in reverse order; older is sorted oldest first.
func appendReversed(entries, older []table.HistoryEntry) []table.HistoryEntry {
	for i := len(older) - 1; i >= 0; i-- {
		entries = append(entries, older[i])
	}
	return entries
}
