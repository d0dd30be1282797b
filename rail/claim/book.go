package claim

import (
	"fmt"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// Config configures a Book.
type Config struct {
	// Owner is the incarnation of this instance.
	Owner string
	// Started is the time at which the incarnation started.
	Started time.Time
	// Shards is the number of records that the keys are spread over; every instance must use the same.
	Shards int
	// Window is the least time for which a key is remembered.
	Window time.Duration
	// Bound is the longest time from the call of Claim to that of Start; it must be far below Window.
	Bound time.Duration
	// Pause is the time between two tries of a call that failed.
	Pause time.Duration
	// Rate is the greatest rate of writes of this instance, in calls per second; zero means no limit.
	Rate float64
	// Single puts each claim into a write of its own, as a baseline for measurements.
	Single bool
	// MaxClaims is the greatest number of claims that the instance remembers.
	MaxClaims int
	// MaxEntries is the greatest number of claims in one record.
	MaxEntries int
	// MaxAnswer is the greatest size in bytes of an answer that goes into a record.
	MaxAnswer int
	// MaxKept is the greatest size in bytes of all answers that the instance keeps for repeats.
	MaxKept int
	// Checker counts violated invariants.
	Checker *invariant.Checker
}

// Call is a call that needs the claim of its key.
type Call struct {
	// Key is the key.
	Key Key
	// Request is the digest of the request.
	Request Digest
	// Deadline is the time after which the claim is of no use.
	Deadline time.Time
}

// Decision says what the request that asked for a claim gets.
type Decision uint8

const (
	// Won means that the request may be dispatched once Start allows it.
	Won Decision = iota
	// Own means that this instance has claimed the key for an earlier request, under the verdict's Sequence.
	Own
	// Held means that the verdict's Entry, of another incarnation, has claimed the key.
	Held
	// Mismatch means that the key was claimed for another request.
	Mismatch
	// Unavailable means that the claim could not be committed in time and is never used.
	Unavailable
	// Full means that there are too many claims.
	Full
	// Expired means that the key was minted too long ago to tell whether its request has run.
	Expired
)

// Verdict answers one Call.
type Verdict struct {
	// Handle is the number that Claim returned.
	Handle uint64
	// Decision says what the request gets.
	Decision Decision
	// Sequence is the claim of this instance that holds the key, for Own.
	Sequence uint64
	// Entry is the claim that holds the key, for Held.
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
	// Verdicts lists the answers to earlier calls of Claim.
	Verdicts []Verdict
}

// Result is the result of a write.
type Result uint8

const (
	// Written means that the write took effect.
	Written Result = iota
	// Conflict means that the record had another version.
	Conflict
	// Refused means that the service refused the call without effect.
	Refused
	// Lost means that the write may have taken effect or may yet do so.
	Lost
)

// held is one claim of this instance.
type held struct {
	sequence uint64
	want     Call
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

// Book holds the claims of one instance; it is not safe for concurrent use.
type Book struct {
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

// New returns a Book without claims.
func New(config Config) *Book {
	b := &Book{config: config, rate: config.Rate, claims: make(map[uint64]*held), latest: make(map[Key]*held)}
	for number := range config.Shards {
		b.shards = append(b.shards, &shard{number: number})
	}
	return b
}

// Claim asks for the claim of a key; a verdict with the returned handle follows, at once or from a later call.
func (b *Book) Claim(now time.Time, want Call) (handle uint64, actions Actions) {
	b.sequence++
	claimed := &held{sequence: b.sequence, want: want, asked: now}
	if earlier, ok := b.latest[want.Key]; ok && earlier.state != NotRun {
		b.follow(earlier, claimed)
		return claimed.sequence, b.take()
	}
	if len(b.claims) >= b.config.MaxClaims {
		b.decide(claimed, Verdict{Decision: Full})
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
func (b *Book) follow(earlier, claimed *held) {
	switch {
	case earlier.want.Request != claimed.want.Request:
		b.decide(claimed, Verdict{Decision: Mismatch})
	case earlier.decided:
		b.decide(claimed, Verdict{Decision: Own, Sequence: earlier.sequence})
	default:
		earlier.followers = append(earlier.followers, claimed.sequence)
	}
}

// Start reports whether the request of a won claim may be dispatched now; it does so at most once for a claim.
//
// After a false report the request is not run.
func (b *Book) Start(now time.Time, handle uint64) bool {
	claimed, ok := b.claims[handle]
	usable := ok && claimed.committed && claimed.decided && claimed.state == Running
	if err := b.config.Checker.Check(usable && !claimed.started, "claim.once", "claim %d started twice or without being won", handle); err != nil {
		return false
	}
	if now.Sub(claimed.asked) >= b.config.Bound {
		b.release(claimed)
		return false
	}
	claimed.started = true
	return true
}

// Finish tells what became of the request of a started claim.
func (b *Book) Finish(now time.Time, handle uint64, state State, answer []byte) Actions {
	claimed, ok := b.claims[handle]
	if !ok || claimed.state != Running {
		return Actions{}
	}
	if state == NotRun {
		b.release(claimed)
	} else {
		claimed.state = state
		if b.kept+len(answer) <= b.config.MaxKept {
			claimed.answer = answer
			b.kept += len(answer)
		}
		b.mark(claimed)
	}
	b.pump(now, b.shardOf(claimed))
	return b.take()
}

// Answer is what the owner of a claim tells about it.
type Answer struct {
	// State is what is known about the request.
	State State `cbor:"1,keyasint"`
	// Answer is the encoded answer of a Done request, empty if it was not kept.
	Answer []byte `cbor:"2,keyasint"`
}

// Ask returns what is known about a claim of this instance.
func (b *Book) Ask(sequence uint64) Answer {
	claimed, ok := b.claims[sequence]
	if !ok {
		return Answer{State: Unknown}
	}
	return Answer{State: claimed.state, Answer: claimed.answer}
}

// Tick gives up claims whose deadline has passed, forgets old ones and tries failed calls again.
func (b *Book) Tick(now time.Time) Actions {
	for sequence, claimed := range b.claims {
		if !claimed.decided && now.After(claimed.want.Deadline) {
			b.release(claimed)
			b.decide(claimed, Verdict{Decision: Unavailable})
		}
		finished := claimed.decided && claimed.state != Running
		if finished && now.Sub(claimed.asked) > forgetWindows*b.config.Window {
			b.forget(sequence, claimed)
		}
	}
	return b.Pump(now)
}

// Pump makes the calls that had to wait for a pause or for the rate of writes.
func (b *Book) Pump(now time.Time) Actions {
	for i := range b.shards {
		b.pump(now, b.shards[(b.turn+i)%len(b.shards)])
	}
	b.turn = (b.turn + 1) % len(b.shards)
	return b.take()
}

// Wake returns the time of the next call of Pump, or false if none is due.
func (b *Book) Wake(now time.Time) (at time.Time, ok bool) {
	for _, s := range b.shards {
		due, waits := s.due(now)
		if !s.calling && waits && (!ok || due.Before(at)) {
			at, ok = due, true
		}
	}
	return at, ok
}

// SetRate replaces the greatest rate of writes.
func (b *Book) SetRate(rate float64) { b.rate = rate }

// allow takes leave for one write, or returns the time until there is one.
func (b *Book) allow(now time.Time) (wait time.Duration) {
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
func (b *Book) Busy() bool {
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

func (b *Book) forget(sequence uint64, claimed *held) {
	if _, ok := b.claims[sequence]; ok {
		b.kept -= len(claimed.answer)
	}
	delete(b.claims, sequence)
	if b.latest[claimed.want.Key] == claimed {
		delete(b.latest, claimed.want.Key)
	}
}

// release ends a claim under which nothing has run, so that the key may be claimed anew.
func (b *Book) release(claimed *held) {
	claimed.state = NotRun
	if claimed.committed {
		b.mark(claimed)
	}
}

// mark asks for the state of the claim to be written to its record.
func (b *Book) mark(claimed *held) {
	if claimed.minted {
		return
	}
	s := b.shardOf(claimed)
	s.marks = append(s.marks, claimed)
}

func (b *Book) shardOf(claimed *held) *shard {
	return b.shards[claimed.want.Key.Shard(b.config.Shards)]
}

func (b *Book) decide(claimed *held, verdict Verdict) {
	if claimed.decided {
		return
	}
	claimed.decided = true
	verdict.Handle = claimed.sequence
	b.out.Verdicts = append(b.out.Verdicts, verdict)
	if verdict.Decision == Won {
		verdict.Decision, verdict.Sequence = Own, claimed.sequence
	}
	for _, handle := range claimed.followers {
		verdict.Handle = handle
		b.out.Verdicts = append(b.out.Verdicts, verdict)
	}
	claimed.followers = nil
}

func (b *Book) take() Actions {
	actions := b.out
	b.out = Actions{}
	return actions
}

// String returns the numbers of claims and shards.
func (b *Book) String() string {
	return fmt.Sprintf("claims=%d shards=%d", len(b.claims), len(b.shards))
}
