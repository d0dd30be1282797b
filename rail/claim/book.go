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
	// Started is the time at which the incarnation started.
	Started time.Time
	// Shards is the number of records that the keys are spread over; every instance must use the same.
	Shards int
	// Window is the least time for which a key is remembered.
	Window time.Duration
	// MaxStartDelay is the longest time from the call of Claim to that of TryStart; it must be far below Window.
	MaxStartDelay time.Duration
	// RetryDelay is the time between two tries of a call that failed.
	RetryDelay time.Duration
	// WriteRate is the greatest rate of writes of this instance, in calls per second; zero means no limit.
	WriteRate float64
	// NoBatching puts each claim into a write of its own, as a baseline for measurements.
	NoBatching bool
	// MaxClaims is the greatest number of claims that the instance remembers.
	MaxClaims int
	// MaxEntries is the greatest number of claims in one record.
	MaxEntries int
	// MaxResponseBytes is the greatest size in bytes of an answer that goes into a record.
	MaxResponseBytes int
	// MaxCachedBytes is the greatest size in bytes of all answers that the instance keeps for repeats.
	MaxCachedBytes int
	// Checker counts violated invariants.
	Checker *invariant.Checker
}

// Request is a call that needs the claim of its key.
type Request struct {
	// Key is the key.
	Key Key
	// Digest is the digest of the request.
	Digest Digest
	// Deadline is the time after which the claim is of no use.
	Deadline time.Time
}

// Verdict says what the request that asked for a claim gets.
type Verdict uint8

const (
	// Granted means that the request may be dispatched once TryStart allows it.
	Granted Verdict = iota
	// HeldLocally means that this instance has claimed the key for an earlier request, under the decision's Sequence.
	HeldLocally
	// HeldRemotely means that the decision's Entry, of another incarnation, has claimed the key.
	HeldRemotely
	// Mismatch means that the key was claimed for another request.
	Mismatch
	// Unavailable means that the claim could not be committed in time and is never used.
	Unavailable
	// Full means that there are too many claims.
	Full
	// Expired means that the key was minted too long ago to tell whether its request has run.
	Expired
)

// Decision answers one Request.
type Decision struct {
	// Handle is the number that Claim returned.
	Handle uint64
	// Verdict says what the request gets.
	Verdict Verdict
	// Sequence is the claim of this instance that holds the key, for HeldLocally.
	Sequence uint64
	// Entry is the claim that holds the key, for HeldRemotely.
	Entry Entry
}

// Write asks for a conditional write of a record.
type Write struct {
	// Shard is the number of the record.
	Shard int
	// Record is the new value.
	Record Record
	// Expect is the version that the record must have.
	Expect uint64
	// Claims is the number of new claims in the write.
	Claims int
}

// Actions are what the program has to do.
type Actions struct {
	// Reads lists the records to read.
	Reads []int
	// Writes lists the records to write.
	Writes []Write
	// Decisions lists the answers to earlier calls of Claim.
	Decisions []Decision
}

// WriteResult is the result of a write.
type WriteResult uint8

const (
	// Written means that the write took effect.
	Written WriteResult = iota
	// Conflict means that the record had another version.
	Conflict
	// Refused means that the service refused the call without effect.
	Refused
	// InDoubt means that the write may have taken effect or may yet do so.
	InDoubt
)

// held is one claim of this instance.
type held struct {
	sequence uint64
	want     Request
	asked    time.Time
	// minted tells that the claim has no record in the service.
	minted bool
	// decided tells that the verdict is out.
	decided bool
	// committed tells that the record holds the claim.
	committed bool
	// started tells that the request was or is being dispatched.
	started bool
	state   State
	answer  []byte
	// followers are the handles of the same request that get the verdict of this one.
	followers []uint64
}

// Registry holds the claims of one instance; it is not safe for concurrent use.
type Registry struct {
	config   Config
	sequence uint64
	// kept is the size in bytes of all answers that are kept.
	kept int
	// minted is the number of keys that were minted.
	minted uint64
	shards []*shard
	claims map[uint64]*held
	latest map[Key]*held
	out    Actions

	rate float64
	// tokens is the number of writes that may be made at refilled.
	tokens   float64
	refilled time.Time
	// turn is the shard that is pumped first.
	turn int
}

// New returns a Registry without claims.
func New(config Config) *Registry {
	b := &Registry{config: config, rate: config.WriteRate, claims: make(map[uint64]*held), latest: make(map[Key]*held)}
	for number := range config.Shards {
		b.shards = append(b.shards, &shard{number: number})
	}
	return b
}

// Claim asks for the claim of a key; a verdict with the returned handle follows, at once or from a later call.
func (b *Registry) Claim(now time.Time, want Request) (handle uint64, actions Actions) {
	b.sequence++
	claimed := &held{sequence: b.sequence, want: want, asked: now}
	if earlier, ok := b.latest[want.Key]; ok && earlier.state != NotRun {
		b.follow(earlier, claimed)
		return claimed.sequence, b.take()
	}
	if len(b.claims) >= b.config.MaxClaims {
		b.decide(claimed, Decision{Verdict: Full})
		return claimed.sequence, b.take()
	}
	b.claims[claimed.sequence] = claimed
	b.latest[want.Key] = claimed
	s := b.shards[want.Key.Shard(b.config.Shards)]
	s.queue = append(s.queue, claimed)
	b.pump(now, s)
	return claimed.sequence, b.take()
}

// follow gives a request the verdict that an earlier one with its key implies, now or when it is out.
func (b *Registry) follow(earlier, claimed *held) {
	switch {
	case earlier.want.Digest != claimed.want.Digest:
		b.decide(claimed, Decision{Verdict: Mismatch})
	case earlier.decided:
		b.decide(claimed, Decision{Verdict: HeldLocally, Sequence: earlier.sequence})
	default:
		earlier.followers = append(earlier.followers, claimed.sequence)
	}
}

// TryStart reports whether the request of a won claim may be dispatched now; it does so at most once for a claim.
//
// After a false report the request is not run.
func (b *Registry) TryStart(now time.Time, handle uint64) bool {
	claimed, ok := b.claims[handle]
	usable := ok && claimed.committed && claimed.decided && claimed.state == Running
	if err := b.config.Checker.Check(usable && !claimed.started, "claim.once", "claim %d started twice or without being won", handle); err != nil {
		return false
	}
	if now.Sub(claimed.asked) >= b.config.MaxStartDelay {
		b.release(claimed)
		return false
	}
	claimed.started = true
	return true
}

// Finish tells what became of the request of a started claim.
func (b *Registry) Finish(now time.Time, handle uint64, state State, answer []byte) Actions {
	claimed, ok := b.claims[handle]
	if !ok || claimed.state != Running {
		return Actions{}
	}
	if state == NotRun {
		b.release(claimed)
	} else {
		claimed.state = state
		if b.kept+len(answer) <= b.config.MaxCachedBytes {
			claimed.answer = answer
			b.kept += len(answer)
		}
		b.mark(claimed)
	}
	b.pump(now, b.shardOf(claimed))
	return b.take()
}

// Status is what the owner of a claim tells about it.
type Status struct {
	// State is what is known about the request.
	State State `cbor:"1,keyasint"`
	// Response is the encoded answer of a Done request, empty if it was not kept.
	Response []byte `cbor:"2,keyasint"`
}

// Status returns what is known about a claim of this instance.
func (b *Registry) Status(sequence uint64) Status {
	claimed, ok := b.claims[sequence]
	if !ok {
		return Status{State: Unknown}
	}
	return Status{State: claimed.state, Response: claimed.answer}
}

// Tick gives up claims whose deadline has passed, forgets old ones and tries failed calls again.
func (b *Registry) Tick(now time.Time) Actions {
	for sequence, claimed := range b.claims {
		if !claimed.decided && now.After(claimed.want.Deadline) {
			b.release(claimed)
			b.decide(claimed, Decision{Verdict: Unavailable})
		}
		finished := claimed.decided && claimed.state != Running
		if finished && now.Sub(claimed.asked) > forgetWindows*b.config.Window {
			b.forget(sequence, claimed)
		}
	}
	return b.Flush(now)
}

// Flush makes the calls that had to wait for a pause or for the rate of writes.
func (b *Registry) Flush(now time.Time) Actions {
	for i := range b.shards {
		b.pump(now, b.shards[(b.turn+i)%len(b.shards)])
	}
	b.turn = (b.turn + 1) % len(b.shards)
	return b.take()
}

// NextFlush returns the time of the next call of Flush, or false if none is due.
func (b *Registry) NextFlush(now time.Time) (at time.Time, ok bool) {
	for _, s := range b.shards {
		due, waits := s.due(now)
		if !s.calling && waits && (!ok || due.Before(at)) {
			at, ok = due, true
		}
	}
	return at, ok
}

// SetWriteRate replaces the greatest rate of writes.
func (b *Registry) SetWriteRate(rate float64) { b.rate = rate }

// allow takes leave for one write, or returns the time until there is one.
func (b *Registry) allow(now time.Time) (wait time.Duration) {
	if b.rate == 0 {
		return 0
	}
	b.tokens = min(b.tokens+now.Sub(b.refilled).Seconds()*b.rate, max(1, b.rate*burst.Seconds()))
	b.refilled = now
	if b.tokens < 1 {
		return max(time.Millisecond, time.Duration((1-b.tokens)/b.rate*float64(time.Second)))
	}
	b.tokens--
	return 0
}

// burst is the time whose writes may be made at once.
const burst = 250 * time.Millisecond

// forgetWindows is the number of windows after which the owner forgets a claim.
const forgetWindows = 3

// Busy reports whether a claim waits for its verdict, its request for its end, or a state to be written.
func (b *Registry) Busy() bool {
	for _, s := range b.shards {
		if s.pending != nil || len(s.marks) > 0 {
			return true
		}
	}
	for _, claimed := range b.claims {
		if !claimed.decided || (claimed.started && claimed.state == Running) {
			return true
		}
	}
	return false
}

func (b *Registry) forget(sequence uint64, claimed *held) {
	if _, ok := b.claims[sequence]; ok {
		b.kept -= len(claimed.answer)
	}
	delete(b.claims, sequence)
	if b.latest[claimed.want.Key] == claimed {
		delete(b.latest, claimed.want.Key)
	}
}

// release ends a claim under which nothing has run, so that the key may be claimed anew.
func (b *Registry) release(claimed *held) {
	claimed.state = NotRun
	if claimed.committed {
		b.mark(claimed)
	}
}

// mark asks for the state of the claim to be written to its record.
func (b *Registry) mark(claimed *held) {
	if claimed.minted {
		return
	}
	s := b.shardOf(claimed)
	s.marks = append(s.marks, claimed)
}

func (b *Registry) shardOf(claimed *held) *shard {
	return b.shards[claimed.want.Key.Shard(b.config.Shards)]
}

func (b *Registry) decide(claimed *held, verdict Decision) {
	if claimed.decided {
		return
	}
	claimed.decided = true
	verdict.Handle = claimed.sequence
	b.out.Decisions = append(b.out.Decisions, verdict)
	if verdict.Verdict == Granted {
		verdict.Verdict, verdict.Sequence = HeldLocally, claimed.sequence
	}
	for _, handle := range claimed.followers {
		verdict.Handle = handle
		b.out.Decisions = append(b.out.Decisions, verdict)
	}
	claimed.followers = nil
}

func (b *Registry) take() Actions {
	actions := b.out
	b.out = Actions{}
	return actions
}

// String returns the numbers of claims and shards.
func (b *Registry) String() string {
	return fmt.Sprintf("claims=%d shards=%d", len(b.claims), len(b.shards))
}
