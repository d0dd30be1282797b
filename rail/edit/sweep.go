package edit

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// GracePeriod is how long an unreferenced chunk is kept, so that slow readers of an older head still find it.
const GracePeriod = 10 * time.Minute

// unreferencedChunk is a version of a chunk's record that was found unreferenced by the head.
type unreferencedChunk struct {
	version uint64
	since   time.Time
}

// Sweeper is the state machine that deletes the chunks that the head does not reference.
type Sweeper struct {
	unreferenced map[table.Hash]unreferencedChunk
	// listed holds the chunks that ListChunks found.
	listed []StoredChunk
	phase  phase
	// expired holds the chunks that are still to be deleted in this sweep.
	expired []StoredChunk
}

// NewSweeper returns a Sweeper that has recorded no unreferenced chunks yet.
func NewSweeper() *Sweeper { return &Sweeper{unreferenced: make(map[table.Hash]unreferencedChunk)} }

// Next processes the response to the previous step and returns the next step; the call after Finish starts the next sweep.
func (s *Sweeper) Next(response Response, now time.Time) Step {
	switch s.phase {
	case phaseRead:
		if response.Err != nil {
			return s.finish()
		}
		s.listed = response.Listed
		s.phase = phaseReadHead
		return ReadHead{}
	case phaseReadHead:
		return s.handleHead(response, now)
	case phaseWriteHead:
		if response.Err != nil {
			return s.finish()
		}
		return s.deleteNext()
	case phaseWrite:
		return s.deleteNext()
	default:
		s.phase = phaseRead
		return ListChunks{}
	}
}

func (s *Sweeper) finish() Step {
	s.phase, s.expired, s.listed = phaseStart, nil, nil
	return Finish{}
}

// handleHead selects the chunks to delete and writes the unchanged head again, or ends the sweep if there are none.
func (s *Sweeper) handleHead(response Response, now time.Time) Step {
	if response.Err != nil {
		return s.finish()
	}
	head, err := table.DecodeHead(response.Content)
	if err != nil {
		return s.finish()
	}
	s.selectExpired(head, now)
	if len(s.expired) == 0 {
		return s.finish()
	}
	s.phase = phaseWriteHead
	// Writing the unchanged head again before the deletions changes the head's version. Every edit that commits later
	// must therefore have read the head after that write, and must have rewritten each chunk that the head did not
	// reference. The rewrite changes the chunk's version, so the conditional delete of the old version fails.
	return WriteHead{Content: response.Content, Expect: response.Version}
}

// selectExpired records the unreferenced chunks and selects those whose version has been unreferenced for GracePeriod.
func (s *Sweeper) selectExpired(head *table.Head, now time.Time) {
	referenced, unreferenced := head.ReferencedChunks(), make(map[table.Hash]unreferencedChunk)
	for _, stored := range s.listed {
		if referenced[stored.Hash] {
			continue
		}
		earlier, ok := s.unreferenced[stored.Hash]
		if !ok || earlier.version != stored.Version {
			earlier = unreferencedChunk{version: stored.Version, since: now}
		}
		unreferenced[stored.Hash] = earlier
		if now.Sub(earlier.since) >= GracePeriod {
			s.expired = append(s.expired, stored)
		}
	}
	s.unreferenced = unreferenced
}

// deleteNext deletes the next selected chunk. One whose deletion fails is considered again by the next sweep.
func (s *Sweeper) deleteNext() Step {
	if len(s.expired) == 0 {
		return s.finish()
	}
	stored := s.expired[0]
	s.expired = s.expired[1:]
	s.phase = phaseWrite
	return DeleteChunk{Hash: stored.Hash, Expect: stored.Version}
}
