package claim

import "time"

// shardState is an instance's copy of the record of one shard, with the claims and state updates that wait to be written to it.
type shardState struct {
	number int
	// valid reports whether a write may be based on record. It is false before the first read, and after a write that conflicted
	// or is in doubt until the next successful read.
	valid   bool
	version uint64
	record  Record
	// updatedAt is the time at which record was last read or written.
	updatedAt time.Time
	// epochSeenAt is the time at which this instance first read or wrote the record's current epoch.
	epochSeenAt time.Time

	// queue lists claims that are not in the record yet.
	queue []*localClaim
	// updates lists committed claims whose state is still to be written to the record.
	updates []*localClaim
	// updatesDue is the time at which updates are written even if no claim is queued; zero if it is not set.
	updatesDue time.Time

	// inFlight reports whether a read or write is in progress.
	inFlight bool
	// hasToken reports whether the rate limit has already allowed the next write.
	hasToken bool
	// pauseUntil is the time before which no call is made.
	pauseUntil time.Time
	// pending is the write whose result is not known yet, nil for none.
	pending *pendingWrite
}

// pendingWrite is a write that is in progress or may have taken effect.
type pendingWrite struct {
	write   Write
	claims  []*localClaim
	updates []*localClaim
	// inDoubt reports whether an earlier attempt at the same write may have taken effect or may still take effect.
	inDoubt bool
}

// updateDelay is the time for which state updates wait to share a write with a claim.
const updateDelay = 500 * time.Millisecond

// due returns the time of the next call; ok is false if there is nothing to write. If updates wait and updatesDue is not set,
// due sets it.
func (s *shardState) due(now time.Time) (at time.Time, ok bool) {
	if s.pending != nil || len(s.queue) > 0 {
		return s.pauseUntil, true
	}
	if len(s.updates) == 0 {
		return time.Time{}, false
	}
	if s.updatesDue.IsZero() {
		s.updatesDue = now.Add(updateDelay)
	}
	if s.updatesDue.Before(s.pauseUntil) {
		return s.pauseUntil, true
	}
	return s.updatesDue, true
}

// maxRecordResponseBytes is the maximum total size in bytes of the responses in one record.
const maxRecordResponseBytes = 256 << 10

// startNextCall adds the next read or write of the shard to the actions if it is due and the rate limit allows it.
func (r *Registry) startNextCall(now time.Time, s *shardState) {
	if at, ok := s.due(now); s.inFlight || !ok || now.Before(at) {
		return
	}
	if !r.takeShardToken(now, s) {
		return
	}
	// If the copy is old, another instance has probably written the record since it was read, and a read costs less than a
	// write that conflicts.
	if !s.valid || now.Sub(s.updatedAt) > maxCopyAge {
		s.inFlight = true
		r.actions.Reads = append(r.actions.Reads, s.number)
		return
	}
	if s.pending == nil {
		s.pending = r.buildWrite(now, s)
	}
	if s.pending == nil {
		return
	}
	s.inFlight, s.hasToken = true, false
	r.actions.Writes = append(r.actions.Writes, s.pending.write)
}

// maxCopyAge is the maximum age of the copy of a record on which a write is based without reading the record again.
const maxCopyAge = 5 * time.Millisecond

// takeShardToken reports whether the rate limit allows the next write of the shard, and sets the time to retry if not.
func (r *Registry) takeShardToken(now time.Time, s *shardState) bool {
	if s.hasToken {
		return true
	}
	if wait := r.takeWriteToken(now); wait > 0 {
		s.pauseUntil = now.Add(wait)
		return false
	}
	s.hasToken = true
	return true
}

// buildWrite combines the queued updates and claims into one write, with at most one claim if NoBatching is set. It returns nil
// if the record would not change.
func (r *Registry) buildWrite(now time.Time, s *shardState) *pendingWrite {
	next := s.record.Clone()
	// A claim that is requested within the window may be committed up to MaxStartDelay later, so the rotation waits for both.
	changed := now.Sub(s.epochSeenAt) >= r.config.Window+r.config.MaxStartDelay
	if changed {
		next.rotate()
	}
	p := &pendingWrite{updates: s.updates}
	for _, claim := range s.updates {
		changed = r.applyUpdate(&next, claim) || changed
	}
	for len(s.queue) > 0 && (!r.config.NoBatching || len(p.claims) == 0) {
		claim := s.queue[0]
		s.queue = s.queue[1:]
		if !claim.decided && r.applyClaim(&next, claim) {
			p.claims = append(p.claims, claim)
		}
	}
	s.updates, s.updatesDue = nil, time.Time{}
	if !changed && len(p.claims) == 0 {
		return nil
	}
	p.write = Write{Shard: s.number, Record: next, Expect: s.version, Claims: len(p.claims)}
	return p
}

// applyUpdate sets the state of an ended claim in its entry of the record, or removes the entry if the request did not run,
// and reports whether the record changed.
func (r *Registry) applyUpdate(record *Record, claim *localClaim) (changed bool) {
	key := claim.request.Key
	entry, ok := record.Find(key)
	if !ok || entry.Owner != r.config.Owner || entry.Sequence != claim.sequence {
		return false
	}
	if claim.state == NotRun {
		record.remove(key)
		return true
	}
	entry.State = claim.state
	if len(claim.response) <= r.config.MaxResponseBytes && record.responseBytes()+len(claim.response) <= maxRecordResponseBytes {
		entry.Response = claim.response
	}
	record.set(key, entry)
	return true
}

// applyClaim adds the claim to the record, or rejects it if the key is held or the record is full.
func (r *Registry) applyClaim(record *Record, claim *localClaim) (added bool) {
	key := claim.request.Key
	entry, ok := record.Find(key)
	if ok && !r.reusable(entry) {
		r.rejectHeld(claim, entry)
		return false
	}
	if !ok && len(record.Current)+len(record.Previous) >= r.config.MaxEntries {
		r.reject(claim, Decision{Verdict: Full})
		return false
	}
	record.set(key, Entry{Digest: claim.request.Digest, Owner: r.config.Owner, Sequence: claim.sequence})
	return true
}

// reusable reports whether the entry is a claim of this incarnation that was released before its request was started.
func (r *Registry) reusable(entry Entry) bool {
	if entry.Owner != r.config.Owner {
		return false
	}
	earlier, ok := r.claims[entry.Sequence]
	return ok && earlier.state == NotRun && !earlier.started
}

// rejectHeld rejects a claim whose key is held by the entry.
func (r *Registry) rejectHeld(claim *localClaim, entry Entry) {
	if entry.Digest != claim.request.Digest {
		r.reject(claim, Decision{Verdict: Mismatch})
		return
	}
	r.reject(claim, Decision{Verdict: HeldInRecord, Entry: entry})
}

// reject decides a claim that is not written to the record, and removes it from the registry.
func (r *Registry) reject(claim *localClaim, decision Decision) {
	claim.state = NotRun
	r.decide(claim, decision)
	r.remove(claim.sequence, claim)
}

// HandleRead processes the result of a read; version zero means that the record does not exist.
//
// If failed is true, the read failed and is retried after RetryDelay.
func (r *Registry) HandleRead(now time.Time, number int, version uint64, record Record, failed bool) Actions {
	s := r.shards[number]
	s.inFlight = false
	// Versions only increase; no write is based on a record that is older than the last one or was deleted.
	err := r.config.Checker.Check(failed || version >= s.version, "claim.version", "record %d went from version %d to %d", number, s.version, version)
	if failed || err != nil {
		s.pauseUntil = now.Add(r.config.RetryDelay)
		return r.takeActions()
	}
	r.setRecord(now, s, version, record)
	r.resolvePending(s)
	r.startNextCall(now, s)
	return r.takeActions()
}

// setRecord replaces the shard's copy of the record unless the copy is newer.
func (r *Registry) setRecord(now time.Time, s *shardState, version uint64, record Record) {
	if s.version > version {
		return
	}
	s.updatedAt = now
	if s.epochSeenAt.IsZero() || record.Epoch != s.record.Epoch {
		s.epochSeenAt = now
	}
	s.valid, s.version, s.record = true, version, record
}

// resolvePending determines from the record that was just read whether the pending write took effect.
func (r *Registry) resolvePending(s *shardState) {
	if s.pending == nil || s.version == s.pending.write.Expect {
		// The record has not changed and the pending write may still arrive; the result of sending it again decides.
		return
	}
	p := s.pending
	s.pending = nil
	for _, claim := range p.claims {
		entry, ok := s.record.Find(claim.request.Key)
		if ok && entry.Owner == r.config.Owner && entry.Sequence == claim.sequence {
			r.commit(claim)
			continue
		}
		if !claim.decided {
			s.queue = append(s.queue, claim)
		}
	}
	// Applying an update twice has no further effect.
	s.updates = append(s.updates, p.updates...)
}

// commit grants a claim that the record now holds, or queues the removal of its entry if the claim was released before the
// result of the write was known.
func (r *Registry) commit(claim *localClaim) {
	claim.committed = true
	if claim.state == NotRun {
		// The deadline passed before the result of the write was known.
		r.queueUpdate(claim)
		return
	}
	r.decide(claim, Decision{Verdict: Granted})
}

// HandleWrite processes the result of a write; version is the new version of the record if the result is Written.
func (r *Registry) HandleWrite(now time.Time, number int, version uint64, result WriteResult) Actions {
	s := r.shards[number]
	s.inFlight = false
	p := s.pending
	switch {
	case p == nil:
	case result == Written:
		s.pending = nil
		r.setRecord(now, s, version, p.write.Record)
		for _, claim := range p.claims {
			r.commit(claim)
		}
	case result == Refused:
		s.pauseUntil = now.Add(r.config.RetryDelay)
		if !p.inDoubt {
			r.requeue(s, p)
		}
	default:
		// Reading the record again determines whether the write took effect.
		p.inDoubt = p.inDoubt || result == InDoubt
		s.valid = false
	}
	r.startNextCall(now, s)
	return r.takeActions()
}

// requeue puts back the claims and updates of a write that certainly had no effect.
func (r *Registry) requeue(s *shardState, p *pendingWrite) {
	s.pending = nil
	s.queue = append(s.queue, p.claims...)
	s.updates = append(s.updates, p.updates...)
}
