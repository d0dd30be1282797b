package edit

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// GracePeriod is the time for which an unused chunk is kept, so that slow readers of an older head find it.
const GracePeriod = 10 * time.Minute

// sighting is a version of a chunk's record that no head named.
type sighting struct {
	version uint64
	since   time.Time
}

// Sweeper deletes the chunks that no head names.
//
// Before it deletes, it writes the unchanged head once more. Every edit that commits
// later has read the head after that, and wrote again each chunk that the head did
// not name, so that the version seen by the sweeper is gone.
type Sweeper struct {
	seen   map[table.Hash]sighting
	listed []StoredChunk
	phase  phase
	doomed []StoredChunk
}

// NewSweeper returns a Sweeper that has seen nothing.
func NewSweeper() *Sweeper { return &Sweeper{seen: make(map[table.Hash]sighting)} }

// Next takes the answer of the step before and returns the next one; after Finish the next sweep begins.
func (s *Sweeper) Next(answer Answer, now time.Time) Step {
	switch s.phase {
	case phaseRead:
		if answer.Err != nil {
			return s.finish()
		}
		s.listed = answer.Listed
		s.phase = phaseHead
		return ReadHead{}
	case phaseHead:
		return s.headRead(answer, now)
	case phaseCommit:
		if answer.Err != nil {
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
	s.phase, s.doomed, s.listed = phaseStart, nil, nil
	return Finish{}
}

// headRead chooses the chunks that were unused for long enough.
func (s *Sweeper) headRead(answer Answer, now time.Time) Step {
	if answer.Err != nil {
		return s.finish()
	}
	head, err := table.DecodeHead(answer.Content)
	if err != nil {
		return s.finish()
	}
	s.choose(head, now)
	if len(s.doomed) == 0 {
		return s.finish()
	}
	s.phase = phaseCommit
	return WriteHead{Content: answer.Content, Expect: answer.Version}
}

// choose remembers unused chunks and dooms those seen unused in the same version for the time of grace.
func (s *Sweeper) choose(head *table.Head, now time.Time) {
	names, seen := head.ReferencedChunks(), make(map[table.Hash]sighting)
	for _, stored := range s.listed {
		if names[stored.Hash] {
			continue
		}
		earlier, ok := s.seen[stored.Hash]
		if !ok || earlier.version != stored.Version {
			earlier = sighting{version: stored.Version, since: now}
		}
		seen[stored.Hash] = earlier
		if now.Sub(earlier.since) >= GracePeriod {
			s.doomed = append(s.doomed, stored)
		}
	}
	s.seen = seen
}

// deleteNext deletes one more chunk; one that cannot be deleted now is seen again.
func (s *Sweeper) deleteNext() Step {
	if len(s.doomed) == 0 {
		return s.finish()
	}
	stored := s.doomed[0]
	s.doomed = s.doomed[1:]
	s.phase = phaseWrite
	return DeleteChunk{Hash: stored.Hash, Expect: stored.Version}
}

// IsFinal reports whether the state of an edit can no longer change.
func (s State) IsFinal() bool { return s != Absent && s != Unknown }
