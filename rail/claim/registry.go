package claim

import (
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Config configures a Registry.
type Config struct {
	// Owner is the incarnation of this instance.
	Owner string
	// StartedAt is the time at which the incarnation started.
	StartedAt time.Time
	// Shards is the number of records that the keys are spread over; every instance must use the same number.
	Shards int
	// Window is the minimum time for which the claim of a key is held.
	Window time.Duration
	// MaxStartDelay is the maximum time from the call of Claim to the call of TryStart; it must be far below Window.
	MaxStartDelay time.Duration
	// RetryDelay is the delay before a failed call to the platform's store is retried.
	RetryDelay time.Duration
	// WriteRate is the maximum rate of writes of this instance, in calls per second; zero means no limit.
	WriteRate float64
	// NoBatching puts each claim into a separate write, as a baseline for measurements.
	NoBatching bool
	// MaxClaims is the maximum number of claims that the instance holds.
	MaxClaims int
	// MaxEntries is the maximum number of entries in one record, Current and Previous together.
	MaxEntries int
	// MaxResponseBytes is the maximum size in bytes of a response that is stored in a record.
	MaxResponseBytes int
	// MaxCachedBytes is the maximum total size in bytes of the responses that the instance keeps for duplicates of requests.
	MaxCachedBytes int
	// Checker counts and reports violated invariants; it must not be nil.
	Checker *invariant.Checker
}

// Request describes a caller's request whose idempotency key is to be claimed.
type Request struct {
	// Key is the hash of the idempotency key with its workspace and route.
	Key Key
	// Digest is the hash of the caller's request; a request with the same Key and another Digest gets a Mismatch.
	Digest Digest
	// Deadline is the time after which an undecided claim becomes Unavailable; ClaimMinted ignores it.
	Deadline time.Time
}

// Verdict is the result of a request for a claim.
type Verdict uint8

const (
	// Granted means that the request may be dispatched once TryStart allows it.
	Granted Verdict = iota
	// HeldLocally means that this instance has claimed the key for an earlier request; Decision.HolderSequence is the number
	// of its claim.
	HeldLocally
	// HeldInRecord means that the record holds a claim of the key, Decision.Entry. Another incarnation made it, or this one
	// made it and its Registry no longer holds it.
	HeldInRecord
	// Mismatch means that the key was claimed for another request or, from ClaimMinted, not minted by this incarnation.
	Mismatch
	// Unavailable means that the claim was not committed before its deadline; its request must not be run.
	Unavailable
	// Full means that the instance or the record holds the maximum number of claims.
	Full
	// Expired means that the key was minted too long ago to determine whether its request has run.
	Expired
)

// Decision is the result of one call of Claim or ClaimMinted.
type Decision struct {
	// Sequence is the sequence number of the claim, as returned by Claim or ClaimMinted.
	Sequence uint64
	// Verdict is the result of the call.
	Verdict Verdict
	// HolderSequence is the number of this instance's claim that holds the key, for HeldLocally.
	HolderSequence uint64
	// Entry is the claim that holds the key, for HeldInRecord.
	Entry Entry
}

// Write is a compare-and-swap of a record that the code that calls the Registry must execute.
type Write struct {
	// Shard is the number of the shard whose record is written.
	Shard int
	// Record is the new value.
	Record Record
	// Expect is the version that the record must have for the write to take effect; zero if it must not exist.
	Expect uint64
	// Claims is the number of new claims in the write.
	Claims int
}

// Actions lists the calls to the platform's store that the code that calls the Registry must make, and the decisions that it
// must deliver.
type Actions struct {
	// Reads lists the numbers of the shards whose records are to be read.
	Reads []int
	// Writes lists the records to write.
	Writes []Write
	// Decisions lists the results of this and earlier calls of Claim and ClaimMinted.
	Decisions []Decision
}

// WriteResult is the result of a write.
type WriteResult uint8

const (
	// Written means that the write took effect.
	Written WriteResult = iota
	// Conflict means that the record had another version.
	Conflict
	// Refused means that the platform's store refused the write, which had no effect.
	Refused
	// InDoubt means that the write may have taken effect or may still take effect.
	InDoubt
)

// localClaim is one claim of this instance.
type localClaim struct {
	sequence    uint64
	request     Request
	requestedAt time.Time
	// minted reports whether the key was minted by this incarnation; such a claim has no entry in a record.
	minted bool
	// decided reports whether the decision was returned.
	decided bool
	// committed reports whether the record holds the claim, or the claim needs no entry.
	committed bool
	// started reports whether TryStart allowed the dispatch of the request.
	started bool
	state   State
	// response is the encoded response to a Done request, nil if it was not kept.
	response []byte
	// duplicates lists the sequence numbers of duplicates of the request that arrived before the decision. They get the
	// decision of this claim, but HeldLocally instead of Granted.
	duplicates []uint64
}

// Registry holds the claims of one instance; it is not safe for concurrent use.
type Registry struct {
	config       Config
	lastSequence uint64
	// cachedBytes is the total size in bytes of the responses in claims.
	cachedBytes int
	// lastMinted is the number of the last minted key, zero if there is none.
	lastMinted uint64
	shards     []*shardState
	// claims holds the claims of this instance by sequence.
	claims      map[uint64]*localClaim
	latestByKey map[Key]*localClaim
	// actions collects what the current call returns.
	actions Actions

	writeRate float64
	// writeTokens is the number of writes that the rate limit allowed at refilledAt.
	writeTokens float64
	refilledAt  time.Time
	// firstShard is the shard that the next Flush serves first; it advances so that no shard is always served first.
	firstShard int
}

// New returns a Registry without claims.
func New(config Config) *Registry {
	r := &Registry{config: config, writeRate: config.WriteRate, claims: make(map[uint64]*localClaim), latestByKey: make(map[Key]*localClaim)}
	for number := range config.Shards {
		r.shards = append(r.shards, &shardState{number: number})
	}
	return r
}

// Claim requests the claim of a key and returns the sequence number of the claim. The returned actions or those of a later call
// hold the decision with that number.
func (r *Registry) Claim(now time.Time, request Request) (sequence uint64, actions Actions) {
	r.lastSequence++
	claim := &localClaim{sequence: r.lastSequence, request: request, requestedAt: now}
	if earlier, ok := r.latestByKey[request.Key]; ok && earlier.state != NotRun {
		r.handleDuplicate(earlier, claim)
		return claim.sequence, r.takeActions()
	}
	if len(r.claims) >= r.config.MaxClaims {
		r.decide(claim, Decision{Verdict: Full})
		return claim.sequence, r.takeActions()
	}
	r.claims[claim.sequence] = claim
	r.latestByKey[request.Key] = claim
	s := r.shards[request.Key.Shard(r.config.Shards)]
	s.queue = append(s.queue, claim)
	r.startNextCall(now, s)
	return claim.sequence, r.takeActions()
}

// handleDuplicate decides claim according to the earlier claim of the same key, either now or when the earlier claim is
// decided.
func (r *Registry) handleDuplicate(earlier, claim *localClaim) {
	switch {
	case earlier.request.Digest != claim.request.Digest:
		r.decide(claim, Decision{Verdict: Mismatch})
	case earlier.decided:
		r.decide(claim, Decision{Verdict: HeldLocally, HolderSequence: earlier.sequence})
	default:
		earlier.duplicates = append(earlier.duplicates, claim.sequence)
	}
}

// TryStart reports whether the request of a granted claim may be dispatched now; it returns true at most once per claim.
//
// If it returns false, the request must not be run.
func (r *Registry) TryStart(now time.Time, sequence uint64) bool {
	claim, ok := r.claims[sequence]
	usable := ok && claim.committed && claim.decided && claim.state == Running
	if err := r.config.Checker.Check(usable && !claim.started, "claim.once", "claim %d started twice or without being granted", sequence); err != nil {
		return false
	}
	if now.Sub(claim.requestedAt) >= r.config.MaxStartDelay {
		r.release(claim)
		return false
	}
	claim.started = true
	return true
}

// Finish records the final state of the request of a started claim and the encoded response to it, nil for none.
func (r *Registry) Finish(now time.Time, sequence uint64, state State, response []byte) Actions {
	claim, ok := r.claims[sequence]
	if !ok || claim.state != Running {
		return Actions{}
	}
	if state == NotRun {
		r.release(claim)
	} else {
		claim.state = state
		if r.cachedBytes+len(response) <= r.config.MaxCachedBytes {
			claim.response = response
			r.cachedBytes += len(response)
		}
		r.queueUpdate(claim)
	}
	r.startNextCall(now, r.shardOf(claim))
	return r.takeActions()
}

// Status is the state of a claimed request as its owner reports it, also to other instances.
type Status struct {
	// State is the state of the request; Unknown also if the owner no longer holds the claim.
	State State `cbor:"1,keyasint"`
	// Response is the encoded response to a Done request, empty if it was not kept.
	Response []byte `cbor:"2,keyasint"`
}

// Status returns the state and the response of a claim of this instance.
func (r *Registry) Status(sequence uint64) Status {
	claim, ok := r.claims[sequence]
	if !ok {
		return Status{State: Unknown}
	}
	return Status{State: claim.state, Response: claim.response}
}

// Tick ends undecided claims whose deadline has passed, removes old finished ones and returns the calls that are due.
func (r *Registry) Tick(now time.Time) Actions {
	for sequence, claim := range r.claims {
		if !claim.decided && now.After(claim.request.Deadline) {
			r.release(claim)
			r.decide(claim, Decision{Verdict: Unavailable})
		}
		finished := claim.decided && claim.state != Running
		if finished && now.Sub(claim.requestedAt) > retentionWindows*r.config.Window {
			r.remove(sequence, claim)
		}
	}
	return r.Flush(now)
}

// Flush returns the calls that were waiting for a retry delay, for the rate limit or to be batched, and are due.
func (r *Registry) Flush(now time.Time) Actions {
	for i := range r.shards {
		r.startNextCall(now, r.shards[(r.firstShard+i)%len(r.shards)])
	}
	r.firstShard = (r.firstShard + 1) % len(r.shards)
	return r.takeActions()
}

// NextFlush returns the time at which Flush must be called next; ok is false if no call is waiting.
func (r *Registry) NextFlush(now time.Time) (at time.Time, ok bool) {
	for _, s := range r.shards {
		due, waits := s.due(now)
		if !s.inFlight && waits && (!ok || due.Before(at)) {
			at, ok = due, true
		}
	}
	return at, ok
}

// SetWriteRate replaces the maximum rate of writes, in calls per second; zero means no limit.
func (r *Registry) SetWriteRate(rate float64) { r.writeRate = rate }

// takeWriteToken takes one token of the rate limit and returns zero, or returns the time until a token is available.
func (r *Registry) takeWriteToken(now time.Time) (wait time.Duration) {
	if r.writeRate == 0 {
		return 0
	}
	r.writeTokens = min(r.writeTokens+now.Sub(r.refilledAt).Seconds()*r.writeRate, max(1, r.writeRate*burstPeriod.Seconds()))
	r.refilledAt = now
	if r.writeTokens < 1 {
		return max(time.Millisecond, time.Duration((1-r.writeTokens)/r.writeRate*float64(time.Second)))
	}
	r.writeTokens--
	return 0
}

// burstPeriod bounds a burst: at most the writes that the rate allows in this time, but at least one, are made at once.
const burstPeriod = 250 * time.Millisecond

// retentionWindows is the number of windows after which the owner removes a finished claim.
const retentionWindows = 3

// Busy reports whether a claim is undecided, a started request has not finished, or a write is pending or queued.
func (r *Registry) Busy() bool {
	for _, s := range r.shards {
		if s.pending != nil || len(s.updates) > 0 {
			return true
		}
	}
	for _, claim := range r.claims {
		if !claim.decided || (claim.started && claim.state == Running) {
			return true
		}
	}
	return false
}

func (r *Registry) remove(sequence uint64, claim *localClaim) {
	if _, ok := r.claims[sequence]; ok {
		r.cachedBytes -= len(claim.response)
	}
	delete(r.claims, sequence)
	if r.latestByKey[claim.request.Key] == claim {
		delete(r.latestByKey, claim.request.Key)
	}
}

// release ends a claim whose request did not run, so that the key can be claimed again.
func (r *Registry) release(claim *localClaim) {
	claim.state = NotRun
	if claim.committed {
		r.queueUpdate(claim)
	}
}

// queueUpdate queues the state of the claim to be written to its record.
func (r *Registry) queueUpdate(claim *localClaim) {
	if claim.minted {
		return
	}
	s := r.shardOf(claim)
	s.updates = append(s.updates, claim)
}

func (r *Registry) shardOf(claim *localClaim) *shardState {
	return r.shards[claim.request.Key.Shard(r.config.Shards)]
}

// decide adds the decision of the claim and of its duplicates to the actions; only the first call has an effect.
func (r *Registry) decide(claim *localClaim, decision Decision) {
	if claim.decided {
		return
	}
	claim.decided = true
	decision.Sequence = claim.sequence
	r.actions.Decisions = append(r.actions.Decisions, decision)
	if decision.Verdict == Granted {
		decision.Verdict, decision.HolderSequence = HeldLocally, claim.sequence
	}
	for _, sequence := range claim.duplicates {
		decision.Sequence = sequence
		r.actions.Decisions = append(r.actions.Decisions, decision)
	}
	claim.duplicates = nil
}

// takeActions returns the collected actions and clears them.
func (r *Registry) takeActions() Actions {
	taken := r.actions
	r.actions = Actions{}
	return taken
}

// String returns the numbers of claims and shards in the form "claims=1 shards=2".
func (r *Registry) String() string {
	return fmt.Sprintf("claims=%d shards=%d", len(r.claims), len(r.shards))
}
