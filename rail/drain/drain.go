package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// Times of marks.
const (
	// answerRenewal is the age at which a mark by a server's answer is replaced when the server says so again.
	answerRenewal = 5 * time.Second
	// spreadTime is the time for which an ended mark is passed on to peers.
	spreadTime = 20 * time.Second
	// keepTime is the time for which an ended mark that arrives again is recognised.
	keepTime = time.Hour
)

// MaxMarks is the greatest number of marks that one message to a peer holds.
const MaxMarks = 128

// Config configures a Tracker.
type Config struct {
	// Observer is the incarnation of this instance.
	Observer string
	// ListLag is the greatest lag of the platform's list.
	ListLag time.Duration
}

// Tracker is what one instance knows about leaving backend servers.
type Tracker struct {
	config   Config
	sequence uint64
	servers  map[string]*server
	ended    map[identity]ended
}

// server is what is known about one backend server.
type server struct {
	// tabled tells that the tables mark the server as leaving.
	tabled bool
	// answered tells that the last word of the server itself was that it is leaving.
	answered bool
	// answeredAt is the time at which the server last said that it is leaving.
	answeredAt time.Time
	// listedAt is the time at which this instance last read in the list that the server is leaving.
	listedAt time.Time
	// removedAt is the time at which the tables stopped listing the server; zero if they list it.
	removedAt time.Time
	// marks holds the marks that stand, with the time at which each last arrived.
	marks map[identity]standing
}

// standing is a mark that no evidence has ended.
type standing struct {
	mark Mark
	// since is the time at which the mark was made here or arrived from a peer.
	since time.Time
	// at is the time at which this instance last got the sign.
	at time.Time
}

// ended is a mark that evidence has ended.
type ended struct {
	mark Mark
	// at is the time at which this instance learnt that it has ended, or last saw a peer that did not know.
	at time.Time
}

// New returns a Tracker without signs.
func New(config Config) *Tracker {
	return &Tracker{config: config, servers: make(map[string]*server), ended: make(map[identity]ended)}
}

// find returns the state of the server, made if need be.
func (s *Tracker) find(name string) *server {
	found, ok := s.servers[name]
	if !ok {
		found = &server{marks: make(map[identity]standing)}
		s.servers[name] = found
	}
	return found
}

// ApplyTables takes a greater generation of the tables: the names of all backend servers, and whether each is leaving.
func (s *Tracker) ApplyTables(leaving map[string]bool, now time.Time) {
	for name, known := range s.servers {
		known.tabled = leaving[name]
		_, listed := leaving[name]
		switch {
		case listed:
			known.removedAt = time.Time{}
		case known.removedAt.IsZero():
			known.removedAt = now
		}
	}
	for name, is := range leaving {
		if is {
			s.find(name).tabled = true
		}
	}
}

// ApplyAnswer takes the server's own word in an answer or refusal to a request sent at asked.
func (s *Tracker) ApplyAnswer(name string, leaving bool, asked, now time.Time) {
	if leaving {
		found := s.find(name)
		found.answered, found.answeredAt = true, now
		s.observe(name, SourceAnswer, now)
		return
	}
	found, ok := s.servers[name]
	if !ok {
		return
	}
	if found.answered && asked.After(found.answeredAt) {
		found.answered = false
	}
	s.disprove(found, SourceAnswer, asked, now)
}

// ApplyList takes a reading of the platform's list that was asked for at asked; a server missing from it says nothing.
func (s *Tracker) ApplyList(instances []kv.ListEntry, asked, now time.Time) {
	for _, instance := range instances {
		if instance.Leaving {
			s.find(instance.Name).listedAt = now
			s.observe(instance.Name, SourceList, now)
			continue
		}
		if found, ok := s.servers[instance.Name]; ok {
			s.disprove(found, SourceList, asked.Add(-s.config.ListLag), now)
		}
	}
}

// observe records that this instance itself saw the sign; it makes a mark unless a young one stands.
//
// A peer may have ended an old mark by evidence from before the sign, so an old mark is replaced. A mark of another
// instance does not stand for the sign: how old it is there is not known here, and its end may be on the way.
func (s *Tracker) observe(name string, source Source, now time.Time) {
	found := s.find(name)
	young := false
	for id, held := range found.marks {
		if held.mark.Source == source {
			own := held.mark.Observer == s.config.Observer
			young = young || own && now.Sub(held.since) < s.renewal(source)
			held.at = later(held.at, now)
			found.marks[id] = held
		}
	}
	if young {
		return
	}
	for _, held := range found.marks {
		if held.mark.Source == source && held.mark.Observer == s.config.Observer {
			s.end(held.mark, now)
		}
	}
	s.sequence++
	mark := Mark{Server: name, Source: source, Observer: s.config.Observer, Sequence: s.sequence}
	found.marks[mark.identity()] = standing{mark: mark, since: now, at: now}
}

// renewal returns the age from which a peer may have ended a mark of the source by evidence of its own.
func (s *Tracker) renewal(source Source) time.Duration {
	if source == SourceList {
		return s.config.ListLag / 2
	}
	return answerRenewal
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// disprove ends the marks of the source that arrived before the evidence.
func (s *Tracker) disprove(found *server, source Source, evidence, now time.Time) {
	for _, held := range found.marks {
		if held.mark.Source == source && evidence.After(held.at) {
			s.end(held.mark, now)
		}
	}
}

// end ends one mark.
func (s *Tracker) end(mark Mark, now time.Time) {
	if found, ok := s.servers[mark.Server]; ok {
		delete(found.marks, mark.identity())
	}
	mark.Ended = true
	s.ended[mark.identity()] = ended{mark: mark, at: now}
}

// Merge takes marks from a peer.
func (s *Tracker) Merge(marks []Mark, now time.Time) {
	for _, mark := range marks {
		known, isEnded := s.ended[mark.identity()]
		switch {
		case isEnded && !mark.Ended:
			s.ended[mark.identity()] = ended{mark: known.mark, at: now}
		case isEnded:
		case mark.Ended:
			s.learnEnd(mark, now)
		case mark.Observer == s.config.Observer && !s.stands(mark):
			s.end(mark, now)
		case !s.stands(mark):
			s.find(mark.Server).marks[mark.identity()] = standing{mark: mark, since: now, at: now}
		}
	}
	s.forget(now)
}

// learnEnd ends a mark that a peer has ended.
//
// If this instance read in the list within its lag that the server is leaving, its own sign may be later than the
// peer's evidence and stands as a mark of its own.
func (s *Tracker) learnEnd(mark Mark, now time.Time) {
	stood := s.stands(mark)
	s.end(mark, now)
	found, ok := s.servers[mark.Server]
	if !ok || !stood || mark.Source != SourceList || now.Sub(found.listedAt) > s.config.ListLag {
		return
	}
	s.observe(mark.Server, SourceList, found.listedAt)
}

func (s *Tracker) stands(mark Mark) bool {
	found, ok := s.servers[mark.Server]
	if !ok {
		return false
	}
	_, ok = found.marks[mark.identity()]
	return ok
}

// forget drops ended marks that nobody sends any more, and servers that the tables dropped long ago.
func (s *Tracker) forget(now time.Time) {
	maps.DeleteFunc(s.servers, func(_ string, known *server) bool {
		return !known.removedAt.IsZero() && now.Sub(known.removedAt) > keepTime
	})
	maps.DeleteFunc(s.ended, func(_ identity, e ended) bool { return now.Sub(e.at) > keepTime })
}

// Marks returns the marks to pass on to peers: those that stand, then those that ended lately, MaxMarks at most.
func (s *Tracker) Marks(now time.Time) []Mark {
	var marks []Mark
	for _, found := range s.servers {
		for _, held := range found.marks {
			marks = append(marks, held.mark)
		}
	}
	slices.SortFunc(marks, compareMarks)
	var over []Mark
	for _, e := range s.ended {
		if now.Sub(e.at) <= spreadTime {
			over = append(over, e.mark)
		}
	}
	slices.SortFunc(over, compareMarks)
	marks = append(marks, over...)
	return marks[:min(len(marks), MaxMarks)]
}

// compareMarks orders marks by their servers and identities.
func compareMarks(a, b Mark) int {
	if order := strings.Compare(a.Server, b.Server); order != 0 {
		return order
	}
	if order := strings.Compare(a.Observer, b.Observer); order != 0 {
		return order
	}
	return int(int64(a.Sequence - b.Sequence))
}

// Leaving reports whether the server may get no new work, and which source says so.
func (s *Tracker) Leaving(name string) (source Source, leaving bool) {
	found, ok := s.servers[name]
	switch {
	case !ok:
		return "", false
	case found.tabled:
		return SourceTable, true
	case found.answered:
		return SourceAnswer, true
	}
	for _, held := range found.marks {
		if held.mark.Source != SourceAnswer {
			return held.mark.Source, true
		}
		source, leaving = SourceAnswer, true
	}
	return source, leaving
}
