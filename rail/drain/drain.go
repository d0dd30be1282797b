package drain

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// Ages and retention times of marks.
const (
	// responseRenewalAge is the age from which a mark of SourceResponse is replaced when the server responds again that
	// it is leaving.
	responseRenewalAge = 5 * time.Second
	// endedSpreadTime is the time for which an ended mark is sent to peers.
	endedSpreadTime = 20 * time.Second
	// retentionTime is the time for which ended marks are kept, to recognize those that arrive again, and for which servers
	// are kept that the tables no longer contain.
	retentionTime = time.Hour
)

// MaxMarks is the maximum number of marks in one message to a peer.
const MaxMarks = 128

// Config configures a Tracker.
type Config struct {
	// Observer is the incarnation of this instance.
	Observer string
	// ListLag is the maximum time by which the platform's list is behind.
	ListLag time.Duration
}

// Tracker records the leaving backend servers that one instance has reports of; it is not safe for concurrent use.
type Tracker struct {
	config   Config
	sequence uint64
	servers  map[string]*server
	ended    map[identity]endedMark
}

// server is the state of one backend server.
type server struct {
	// leavingInTables reports whether the tables mark the server as leaving.
	leavingInTables bool
	// leavingByResponse reports whether the server is leaving by its own latest response.
	leavingByResponse bool
	// leavingResponseAt is the time at which this instance last received a response that reports that the server is leaving.
	leavingResponseAt time.Time
	// leavingListAt is the time at which this instance last read in the list that the server is leaving.
	leavingListAt time.Time
	// removedAt is the time at which tables without the server were first applied; zero while the tables contain it.
	removedAt time.Time
	// marks holds the active marks of the server.
	marks map[identity]activeMark
}

// activeMark is a mark that has not ended.
type activeMark struct {
	mark Mark
	// recordedAt is the time of the report for which this instance made the mark, or the time at which it received the mark
	// from a peer.
	recordedAt time.Time
	// lastReportAt is recordedAt or the time at which this instance last received a report of the mark's source for the server,
	// whichever is later.
	lastReportAt time.Time
}

// endedMark is a mark that has ended.
type endedMark struct {
	mark Mark
	// lastSeenAt is the time at which this instance recorded the end, or last received the mark as active from a peer.
	lastSeenAt time.Time
}

// New returns a Tracker that has no reports.
func New(config Config) *Tracker {
	return &Tracker{config: config, servers: make(map[string]*server), ended: make(map[identity]endedMark)}
}

// findOrAdd returns the state of the server and adds one if there is none.
func (t *Tracker) findOrAdd(name string) *server {
	found, ok := t.servers[name]
	if !ok {
		found = &server{marks: make(map[identity]activeMark)}
		t.servers[name] = found
	}
	return found
}

// ApplyTables applies a greater generation of the tables.
//
// The keys of leaving are the names of all backend servers in the tables, its values report whether each is leaving.
func (t *Tracker) ApplyTables(leaving map[string]bool, now time.Time) {
	for name, known := range t.servers {
		known.leavingInTables = leaving[name]
		_, listed := leaving[name]
		switch {
		case listed:
			known.removedAt = time.Time{}
		case known.removedAt.IsZero():
			known.removedAt = now
		}
	}
	for name, isLeaving := range leaving {
		if isLeaving {
			t.findOrAdd(name).leavingInTables = true
		}
	}
}

// ApplyResponse applies a response of the server, a status or a refusal, to a request that was sent at sentAt.
func (t *Tracker) ApplyResponse(name string, leaving bool, sentAt, now time.Time) {
	if leaving {
		found := t.findOrAdd(name)
		found.leavingByResponse, found.leavingResponseAt = true, now
		t.recordReport(name, SourceResponse, now)
		return
	}
	found, ok := t.servers[name]
	if !ok {
		return
	}
	if found.leavingByResponse && sentAt.After(found.leavingResponseAt) {
		found.leavingByResponse = false
	}
	t.endOlderMarks(found, SourceResponse, sentAt, now)
}

// ApplyList applies a read of the platform's list that was sent at sentAt; it changes no server that is not in the list.
func (t *Tracker) ApplyList(entries []kv.ListEntry, sentAt, now time.Time) {
	for _, entry := range entries {
		if entry.Leaving {
			t.findOrAdd(entry.Name).leavingListAt = now
			t.recordReport(entry.Name, SourceList, now)
			continue
		}
		if found, ok := t.servers[entry.Name]; ok {
			t.endOlderMarks(found, SourceList, sentAt.Add(-t.config.ListLag), now)
		}
	}
}

// recordReport records a report that this instance itself received; it makes a mark unless a recent mark of this instance
// is active.
//
// An old mark of this instance is replaced, because a peer may already have ended it by evidence that is older than the
// report. A mark of another instance is not enough, because its age at that instance is unknown and its end may already
// be in flight.
func (t *Tracker) recordReport(name string, source Source, now time.Time) {
	found := t.findOrAdd(name)
	recent := false
	for id, active := range found.marks {
		if active.mark.Source == source {
			own := active.mark.Observer == t.config.Observer
			recent = recent || own && now.Sub(active.recordedAt) < t.renewalAge(source)
			active.lastReportAt = later(active.lastReportAt, now)
			found.marks[id] = active
		}
	}
	if recent {
		return
	}
	for _, active := range found.marks {
		if active.mark.Source == source && active.mark.Observer == t.config.Observer {
			t.end(active.mark, now)
		}
	}
	t.sequence++
	mark := Mark{Server: name, Source: source, Observer: t.config.Observer, Sequence: t.sequence}
	found.marks[mark.identity()] = activeMark{mark: mark, recordedAt: now, lastReportAt: now}
}

// renewalAge returns the age from which a mark of the source must be replaced, because a peer may have ended it.
func (t *Tracker) renewalAge(source Source) time.Duration {
	if source == SourceList {
		return t.config.ListLag / 2
	}
	return responseRenewalAge
}

// later returns the later of the two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// endOlderMarks ends the server's marks of the source whose last report arrived before evidenceAt.
func (t *Tracker) endOlderMarks(found *server, source Source, evidenceAt, now time.Time) {
	for _, active := range found.marks {
		if active.mark.Source == source && evidenceAt.After(active.lastReportAt) {
			t.end(active.mark, now)
		}
	}
}

// end removes the mark from the active ones and records it as ended.
func (t *Tracker) end(mark Mark, now time.Time) {
	if found, ok := t.servers[mark.Server]; ok {
		delete(found.marks, mark.identity())
	}
	mark.Ended = true
	t.ended[mark.identity()] = endedMark{mark: mark, lastSeenAt: now}
}

// Merge applies the marks of a peer. It ends an active mark whose observer is this incarnation if this instance no
// longer has the mark.
func (t *Tracker) Merge(marks []Mark, now time.Time) {
	for _, mark := range marks {
		known, isEnded := t.ended[mark.identity()]
		switch {
		case isEnded && !mark.Ended:
			t.ended[mark.identity()] = endedMark{mark: known.mark, lastSeenAt: now}
		case isEnded:
		case mark.Ended:
			t.applyPeerEnd(mark, now)
		case mark.Observer == t.config.Observer && !t.isActive(mark):
			t.end(mark, now)
		case !t.isActive(mark):
			t.findOrAdd(mark.Server).marks[mark.identity()] = activeMark{mark: mark, recordedAt: now, lastReportAt: now}
		}
	}
	t.removeExpired(now)
}

// applyPeerEnd ends a mark that a peer has ended.
//
// If this instance read in the list at most ListLag ago that the server is leaving, this report may be later than the
// peer's evidence, so a mark of this instance is recorded for it.
func (t *Tracker) applyPeerEnd(mark Mark, now time.Time) {
	wasActive := t.isActive(mark)
	t.end(mark, now)
	found, ok := t.servers[mark.Server]
	if !ok || !wasActive || mark.Source != SourceList || now.Sub(found.leavingListAt) > t.config.ListLag {
		return
	}
	t.recordReport(mark.Server, SourceList, found.leavingListAt)
}

// isActive reports whether the mark is among the active ones.
func (t *Tracker) isActive(mark Mark) bool {
	found, ok := t.servers[mark.Server]
	if !ok {
		return false
	}
	_, ok = found.marks[mark.identity()]
	return ok
}

// removeExpired removes the ended marks that no peer has sent as active within retentionTime, and the servers that the
// tables have not contained for that time.
func (t *Tracker) removeExpired(now time.Time) {
	maps.DeleteFunc(t.servers, func(_ string, known *server) bool {
		return !known.removedAt.IsZero() && now.Sub(known.removedAt) > retentionTime
	})
	maps.DeleteFunc(t.ended, func(_ identity, e endedMark) bool { return now.Sub(e.lastSeenAt) > retentionTime })
}

// Marks returns at most MaxMarks marks to send to peers: the active ones, then those that ended recently.
func (t *Tracker) Marks(now time.Time) []Mark {
	var marks []Mark
	for _, found := range t.servers {
		for _, active := range found.marks {
			marks = append(marks, active.mark)
		}
	}
	slices.SortFunc(marks, compareMarks)
	var endedMarks []Mark
	for _, e := range t.ended {
		if now.Sub(e.lastSeenAt) <= endedSpreadTime {
			endedMarks = append(endedMarks, e.mark)
		}
	}
	slices.SortFunc(endedMarks, compareMarks)
	marks = append(marks, endedMarks...)
	return marks[:min(len(marks), MaxMarks)]
}

// compareMarks compares marks by server, observer and sequence.
func compareMarks(a, b Mark) int {
	if order := strings.Compare(a.Server, b.Server); order != 0 {
		return order
	}
	if order := strings.Compare(a.Observer, b.Observer); order != 0 {
		return order
	}
	return int(int64(a.Sequence - b.Sequence))
}

// Leaving reports whether the server is leaving and must get no new work, and returns the source of the report.
func (t *Tracker) Leaving(name string) (source Source, leaving bool) {
	found, ok := t.servers[name]
	switch {
	case !ok:
		return "", false
	case found.leavingInTables:
		return SourceTable, true
	case found.leavingByResponse:
		return SourceResponse, true
	}
	for _, active := range found.marks {
		if active.mark.Source != SourceResponse {
			return active.mark.Source, true
		}
		source, leaving = SourceResponse, true
	}
	return source, leaving
}
