package claim

import "time"

// shard is what an instance knows about one record.
type shard struct {
	number int
	// known tells that record is the value at version.
	known   bool
	version uint64
	record  Record
	// seen is the time at which the record arrived.
	seen time.Time
	// since is the time at which this instance first saw the record's epoch.
	since time.Time

	queue []*held
	marks []*held
	// marksDue is the time at which marks are written even if there is no claim; zero if not set.
	marksDue time.Time

	// calling tells that a read or write is on its way.
	calling bool
	// paid tells that the next write has leave by the rate of writes.
	paid bool
	// pauseUntil is the time before which no call is made.
	pauseUntil time.Time
	// pending is the write whose effect is not known yet.
	pending *pending
}

// pending is a write on its way, or one that may have taken effect.
type pending struct {
	write  Write
	claims []*held
	marks  []*held
	// uncertain tells that an earlier send of the same write may have taken effect or may yet do so.
	uncertain bool
}

// markLinger is the time for which marks wait for a claim to ride with.
const markLinger = 500 * time.Millisecond

// due returns the time of the next call, or false if there is nothing to write.
func (s *shard) due(now time.Time) (at time.Time, ok bool) {
	if s.pending != nil || len(s.queue) > 0 {
		return s.pauseUntil, true
	}
	if len(s.marks) == 0 {
		return time.Time{}, false
	}
	if s.marksDue.IsZero() {
		s.marksDue = now.Add(markLinger)
	}
	if s.marksDue.Before(s.pauseUntil) {
		return s.pauseUntil, true
	}
	return s.marksDue, true
}

// maxRecordAnswers is the greatest size in bytes of all answers in one record.
const maxRecordAnswers = 256 << 10

// pump makes the next call for the shard if there is one to make.
func (b *Registry) pump(now time.Time, s *shard) {
	if at, ok := s.due(now); s.calling || !ok || now.Before(at) {
		return
	}
	if !b.pay(now, s) {
		return
	}
	// Another instance has probably written since; a read costs less than a write that conflicts.
	if !s.known || now.Sub(s.seen) > freshFor {
		s.calling = true
		b.out.Reads = append(b.out.Reads, s.number)
		return
	}
	if s.pending == nil {
		s.pending = b.compose(now, s)
	}
	if s.pending == nil {
		return
	}
	s.calling, s.paid = true, false
	b.out.Writes = append(b.out.Writes, s.pending.write)
}

// freshFor is the time for which a value that was read is written upon.
const freshFor = 5 * time.Millisecond

// pay takes leave for the next write of the shard, or sets the time to try again.
func (b *Registry) pay(now time.Time, s *shard) bool {
	if s.paid {
		return true
	}
	if wait := b.allow(now); wait > 0 {
		s.pauseUntil = now.Add(wait)
		return false
	}
	s.paid = true
	return true
}

// compose puts all waiting claims and marks into one write, or returns nil if none changes the record.
func (b *Registry) compose(now time.Time, s *shard) *pending {
	next := s.record.Clone()
	// A claim that is asked for within the window may be committed until MaxStartDelay later.
	changed := now.Sub(s.since) >= b.config.Window+b.config.MaxStartDelay
	if changed {
		next.rotate()
	}
	p := &pending{marks: s.marks}
	for _, claimed := range s.marks {
		changed = b.applyMark(&next, claimed) || changed
	}
	for len(s.queue) > 0 && (!b.config.NoBatching || len(p.claims) == 0) {
		claimed := s.queue[0]
		s.queue = s.queue[1:]
		if !claimed.decided && b.applyClaim(&next, claimed) {
			p.claims = append(p.claims, claimed)
		}
	}
	s.marks, s.marksDue = nil, time.Time{}
	if !changed && len(p.claims) == 0 {
		return nil
	}
	p.write = Write{Shard: s.number, Record: next, Expect: s.version, Claims: len(p.claims)}
	return p
}

// applyMark writes the state of an ended claim into its entry.
func (b *Registry) applyMark(record *Record, claimed *held) (changed bool) {
	key := claimed.want.Key
	entry, ok := record.Find(key)
	if !ok || entry.Owner != b.config.Owner || entry.Sequence != claimed.sequence {
		return false
	}
	if claimed.state == NotRun {
		record.remove(key)
		return true
	}
	entry.State = claimed.state
	if len(claimed.answer) <= b.config.MaxResponseBytes && record.answerBytes()+len(claimed.answer) <= maxRecordAnswers {
		entry.Response = claimed.answer
	}
	record.set(key, entry)
	return true
}

// applyClaim adds the claim to the record, or gives the verdict if the key is taken.
func (b *Registry) applyClaim(record *Record, claimed *held) (added bool) {
	key := claimed.want.Key
	entry, ok := record.Find(key)
	if ok && !b.reusable(entry) {
		b.refuse(claimed, entry)
		return false
	}
	if !ok && len(record.Current)+len(record.Previous) >= b.config.MaxEntries {
		b.reject(claimed, Decision{Verdict: Full})
		return false
	}
	record.set(key, Entry{Digest: claimed.want.Digest, Owner: b.config.Owner, Sequence: claimed.sequence})
	return true
}

// reusable reports whether the entry is a claim of this incarnation under which nothing has run or will.
func (b *Registry) reusable(entry Entry) bool {
	if entry.Owner != b.config.Owner {
		return false
	}
	earlier, ok := b.claims[entry.Sequence]
	return ok && earlier.state == NotRun && !earlier.started
}

// refuse gives the verdict on a claim whose key another claim holds.
func (b *Registry) refuse(claimed *held, entry Entry) {
	if entry.Digest != claimed.want.Digest {
		b.reject(claimed, Decision{Verdict: Mismatch})
		return
	}
	b.reject(claimed, Decision{Verdict: HeldRemotely, Entry: entry})
}

// reject gives the verdict on a claim that no write bears, and forgets the claim.
func (b *Registry) reject(claimed *held, verdict Decision) {
	claimed.state = NotRun
	b.decide(claimed, verdict)
	b.forget(claimed.sequence, claimed)
}

// HandleRead brings the value of a record; version zero means that it does not exist, and failed that the read failed.
func (b *Registry) HandleRead(now time.Time, number int, version uint64, record Record, failed bool) Actions {
	s := b.shards[number]
	s.calling = false
	// Versions only grow; a record that was deleted or an old one is not written upon.
	older := b.config.Checker.Check(failed || version >= s.version, "claim.version", "record %d went from version %d to %d", number, s.version, version)
	if failed || older != nil {
		s.pauseUntil = now.Add(b.config.RetryDelay)
		return b.take()
	}
	b.install(now, s, version, record)
	b.settle(s)
	b.pump(now, s)
	return b.take()
}

// install takes over a value of the record unless a newer one is known.
func (b *Registry) install(now time.Time, s *shard, version uint64, record Record) {
	if s.version > version {
		return
	}
	s.seen = now
	if s.since.IsZero() || record.Epoch != s.record.Epoch {
		s.since = now
	}
	s.known, s.version, s.record = true, version, record
}

// settle finds out from the record just read whether the pending write took effect.
func (b *Registry) settle(s *shard) {
	if s.pending == nil || s.version == s.pending.write.Expect {
		// Nothing was written since, and the pending write may still arrive; sending it again decides.
		return
	}
	p := s.pending
	s.pending = nil
	for _, claimed := range p.claims {
		entry, ok := s.record.Find(claimed.want.Key)
		if ok && entry.Owner == b.config.Owner && entry.Sequence == claimed.sequence {
			b.win(claimed)
			continue
		}
		if !claimed.decided {
			s.queue = append(s.queue, claimed)
		}
	}
	// Marks may be applied twice.
	s.marks = append(s.marks, p.marks...)
}

// win tells that the record holds the claim.
func (b *Registry) win(claimed *held) {
	claimed.committed = true
	if claimed.state == NotRun {
		// Its deadline passed before the commit was known.
		b.mark(claimed)
		return
	}
	b.decide(claimed, Decision{Verdict: Granted})
}

// HandleWrite brings the result of a write and, if it took effect, the new version.
func (b *Registry) HandleWrite(now time.Time, number int, version uint64, result WriteResult) Actions {
	s := b.shards[number]
	s.calling = false
	p := s.pending
	switch {
	case p == nil:
	case result == Written:
		s.pending = nil
		b.install(now, s, version, p.write.Record)
		for _, claimed := range p.claims {
			b.win(claimed)
		}
	case result == Refused:
		s.pauseUntil = now.Add(b.config.RetryDelay)
		if !p.uncertain {
			b.requeue(s, p)
		}
	default:
		// The record decides, read anew.
		p.uncertain = p.uncertain || result == InDoubt
		s.known = false
	}
	b.pump(now, s)
	return b.take()
}

// requeue puts back the claims and marks of a write that certainly had no effect.
func (b *Registry) requeue(s *shard, p *pending) {
	s.pending = nil
	s.queue = append(s.queue, p.claims...)
	s.marks = append(s.marks, p.marks...)
}
