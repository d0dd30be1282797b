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

// EditTimeout is the time for which an edit is tried.
const EditTimeout = 10 * time.Second

// Times of the wait for an accepted edit to be in force at this instance.
const (
	inForceWait = 2 * time.Second
	inForcePoll = 2 * time.Millisecond
)

// Edit brings an edit into force, or answers why it is not; it goes on if the context ends.
func (s *Sync) Edit(ctx context.Context, change table.Edit) edit.Result {
	return s.attempt(ctx, edit.Commit, change)
}

// Lookup answers what became of an edit.
func (s *Sync) Lookup(ctx context.Context, id string) edit.Result {
	return s.attempt(ctx, edit.Lookup, table.Edit{ID: id})
}

// Withdraw makes sure that an edit is never accepted, unless it already was.
func (s *Sync) Withdraw(ctx context.Context, id, author string) edit.Result {
	return s.attempt(ctx, edit.Withdraw, table.Edit{ID: id, Author: author})
}

// attempt makes the steps of an attempt one by one.
func (s *Sync) attempt(ctx context.Context, purpose edit.Purpose, change table.Edit) edit.Result {
	ctx = context.WithoutCancel(ctx)
	attempt := edit.New(edit.Config{
		Purpose: purpose, Edit: change, MinGeneration: s.control.Snapshot().Tables.Generation,
		Deadline: time.Now().Add(EditTimeout), Cached: s.known, Rand: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
	})
	var answer edit.Answer
	for {
		step := attempt.Next(answer, time.Now())
		if finish, ok := step.(edit.Finish); ok {
			if purpose == edit.Commit {
				s.count("config.edit." + string(finish.Result.State))
			}
			s.finish(ctx, attempt, finish.Result)
			return finish.Result
		}
		answer = s.step(ctx, step)
	}
}

// finish keeps what the next attempt needs and puts an accepted edit in force here at once.
func (s *Sync) finish(ctx context.Context, attempt *edit.Attempt, result edit.Result) {
	kept := attempt.CachedChunks()
	s.mu.Lock()
	s.kept = kept
	s.mu.Unlock()
	s.log.WithField("edit", result.ID).WithField("generation", result.Generation).Infof("edit is %s", result.State)
	if result.State == edit.Accepted {
		s.readNow(ctx)
		s.awaitInForce(ctx, result.Generation)
	}
}

// awaitInForce waits for a time until the generation is in force here, so that an operator reads what was just written.
func (s *Sync) awaitInForce(ctx context.Context, generation uint64) {
	ctx, cancel := context.WithTimeout(ctx, inForceWait)
	defer cancel()
	for ctx.Err() == nil && s.control.Snapshot().Tables.Generation < generation {
		_ = pause.For(ctx, inForcePoll)
	}
}

// known returns a chunk that is in force or that the attempt before had.
func (s *Sync) known(hash table.Hash) (content []byte, ok bool) {
	if content, ok = s.control.Snapshot().InForce.Contents[hash]; ok {
		return content, true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	content, ok = s.kept[hash]
	return content, ok
}

// step makes one call or waits.
func (s *Sync) step(ctx context.Context, step edit.Step) edit.Answer {
	if wait, ok := step.(edit.Wait); ok {
		_ = pause.For(ctx, wait.For)
		return edit.Answer{}
	}
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	switch step := step.(type) {
	case edit.ReadHead:
		return s.answer(s.store.Get(ctx, headKey))
	case edit.ReadChunk:
		return s.answer(s.store.Get(ctx, chunkPrefix+step.Hash.String()))
	case edit.WriteChunk:
		_, err := s.store.Put(ctx, chunkPrefix+step.Chunk.Hash.String(), kv.Put{Value: step.Chunk.Content, Expect: step.Expect})
		return edit.Answer{Err: err}
	case edit.WriteHead:
		_, err := s.store.Put(ctx, headKey, kv.Put{Value: step.Content, Expect: step.Expect})
		return edit.Answer{Err: err}
	case edit.ListChunks:
		return s.listed(s.store.List(ctx, chunkPrefix))
	case edit.DeleteChunk:
		return edit.Answer{Err: s.store.Delete(ctx, chunkPrefix+step.Hash.String(), step.Expect)}
	}
	return edit.Answer{Err: errors.Errorf("step %T is unknown", step)}
}

func (s *Sync) answer(record kv.Record, err error) edit.Answer {
	return edit.Answer{Content: record.Value, Version: record.Version, Err: err}
}

// listed returns the hashes and versions of the records of chunks.
func (s *Sync) listed(records []kv.Record, err error) edit.Answer {
	answer := edit.Answer{Err: err}
	for _, record := range records {
		hash, failure := table.ParseHash(strings.TrimPrefix(record.Key, chunkPrefix))
		if failure != nil {
			s.log.WithError(failure).Warn("record in the service has a malformed key")
			continue
		}
		answer.Listed = append(answer.Listed, edit.StoredChunk{Hash: hash, Version: record.Version})
	}
	return answer
}

// sweep deletes unused chunks from time to time while it is this instance's duty.
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

// sweepOnce makes the steps of one sweep.
func (s *Sync) sweepOnce(ctx context.Context, now time.Time) {
	var answer edit.Answer
	for {
		step := s.sweeper.Next(answer, now)
		if _, ok := step.(edit.Finish); ok {
			return
		}
		answer = s.step(ctx, step)
	}
}

// History returns the newest entries of the record of edits, newest first, up to the limit.
func (s *Sync) History(ctx context.Context, limit int) (entries []table.HistoryEntry, err error) {
	defer errors.DeferredAnnotatef(&err, "read history")
	answer := s.step(ctx, edit.ReadHead{})
	if errors.Is(answer.Err, kv.ErrNotFound) {
		return nil, nil
	}
	if answer.Err != nil {
		return nil, answer.Err
	}
	head, err := table.DecodeHead(answer.Content)
	if err != nil {
		return nil, err
	}
	s.hear(ctx, install.HeadRead{Manifest: head.Manifest})
	entries = newestFirst(nil, head.Recent)
	for i := len(head.Sealed) - 1; i >= 0 && len(entries) < limit; i-- {
		answer = s.step(ctx, edit.ReadChunk{Hash: head.Sealed[i]})
		if answer.Err != nil {
			return nil, answer.Err
		}
		sealed, failure := table.DecodeHistory(answer.Content)
		if failure != nil {
			return nil, failure
		}
		entries = newestFirst(entries, sealed)
	}
	return entries[:min(limit, len(entries))], nil
}

// newestFirst appends entries, given oldest first, in reverse.
func newestFirst(entries, older []table.HistoryEntry) []table.HistoryEntry {
	for i := len(older) - 1; i >= 0; i-- {
		entries = append(entries, older[i])
	}
	return entries
}
