package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// Times of the model.
const (
	testWindow = time.Minute
	testBound  = 10 * time.Second
)

// stored is a record of the model service.
type stored struct {
	version uint64
	record  Record
}

// message is a call on its way to the service, or its answer on the way back.
type message struct {
	from     *instance
	write    *Write
	read     int
	answered bool
	version  uint64
	record   Record
	result   WriteResult
	failed   bool
}

// instance is one incarnation of the program.
type instance struct {
	name   string
	offset time.Duration
	frozen time.Duration
	dead   bool
	book   *Registry
	// waiting holds the attempts whose verdict is due, by handle.
	waiting map[uint64]*attempt
}

// attempt is one call of a caller.
type attempt struct {
	key   int
	body  int
	at    *instance
	runs  int
	told  bool
	state State
	// steps left: a won attempt has to start, then to send, then to finish.
	handle  uint64
	won     bool
	started bool
	sent    bool
	result  State
}

// world is the whole model.
type world struct {
	rt *rapid.T
	// random draws evenly, which rapid does not.
	random    *rand.Rand
	tally     *proptest.Tally
	now       time.Duration
	version   uint64
	records   map[int]stored
	outage    bool
	recover   time.Duration
	messages  []*message
	instances []*instance
	attempts  []*attempt
	firstUse  map[int]time.Duration
	lastKey   int
	runs      map[int]int
	born      int
	// calm leaves out restarts and outages, so that records are rotated often.
	calm bool
	// mints are the keys that instances minted.
	mints []MintedKey
}

// firstMinted is the number of the first minted key.
const firstMinted = 1 << 20

// seedBytes is the size of the seed of one history.
const seedBytes = 32

// between returns a number from low to high.
func (w *world) between(low, high int) int { return low + w.random.IntN(high-low+1) }

// pick returns one of the values.
func pick[T any](w *world, values []T) T { return values[w.random.IntN(len(values))] }

func newWorld(rt *rapid.T, tally *proptest.Tally) *world {
	seed := rapid.SliceOfN(rapid.Byte(), seedBytes, seedBytes).Draw(rt, "seed")
	w := &world{rt: rt, random: rand.New(rand.NewChaCha8([seedBytes]byte(seed))), tally: tally, records: make(map[int]stored), firstUse: make(map[int]time.Duration), runs: make(map[int]int)}
	for range w.between(1, 3) {
		w.instances = append(w.instances, w.start())
	}
	return w
}

// start returns a new incarnation whose clock shows any time.
func (w *world) start() *instance {
	w.born++
	owner := fmt.Sprintf("i%d", w.born)
	checker := &invariant.Checker{Report: func(v *invariant.Violation) { w.tally.Failf(w.rt, "%v", v) }}
	offset := time.Duration(w.between(0, 1000)) * time.Minute
	return &instance{
		name: owner, offset: offset,
		waiting: make(map[uint64]*attempt),
		book: New(Config{
			Owner: owner, Started: time.Unix(0, 0).Add(w.now + offset), Shards: 2, Window: testWindow, MaxStartDelay: testBound, RetryDelay: time.Second,
			MaxClaims: 1000, MaxEntries: 1000, MaxResponseBytes: 16, MaxCachedBytes: 1000, Checker: checker,
		}),
	}
}

func (w *world) local(i *instance) time.Time { return time.Unix(0, 0).Add(w.now + i.offset) }

func (w *world) awake(i *instance) bool { return !i.dead && w.now >= i.frozen }

// call lets a caller use a key at some instance; a key is used within the window after its first use.
func (w *world) call() {
	key := w.between(max(0, w.lastKey-4), w.lastKey+w.between(0, 1))
	w.lastKey = max(w.lastKey, key)
	if first, ok := w.firstUse[key]; ok && w.now-first > testWindow {
		w.lastKey++
		key = w.lastKey
	}
	if _, ok := w.firstUse[key]; !ok {
		w.firstUse[key] = w.now
	}
	i := pick(w, w.instances)
	if !w.awake(i) {
		return
	}
	a := &attempt{key: key, at: i}
	if w.between(0, 5) == 0 {
		w.tally.CountFault("body")
		a.body = 1
	}
	w.attempts = append(w.attempts, a)
	now := w.local(i)
	handle, actions := i.book.Claim(now, Request{
		Key:      NewKey("w", "r", fmt.Sprint(key)),
		Digest:   NewDigest("POST", "/", []byte{byte(a.body)}),
		Deadline: now.Add(time.Duration(w.between(1, 20)) * time.Second),
	})
	a.handle = handle
	i.waiting[handle] = a
	w.act(i, actions)
}

// callMinted lets a caller use a minted key at any time; the request goes to the instance that minted it.
func (w *world) callMinted() {
	i := pick(w, w.instances)
	if !w.awake(i) {
		return
	}
	if len(w.mints) == 0 || w.between(0, 3) == 0 {
		w.mints = append(w.mints, i.book.Mint(w.local(i)))
	}
	number := w.between(max(0, len(w.mints)-4), len(w.mints)-1)
	a := &attempt{key: firstMinted + number, body: w.between(0, 4) / 4}
	w.attempts = append(w.attempts, a)
	for _, owner := range w.instances {
		if owner.name != w.mints[number].Owner || !w.awake(owner) {
			continue
		}
		a.at = owner
		now := w.local(owner)
		want := Request{Key: NewKey("w", "r", fmt.Sprint(a.key)), Digest: NewDigest("POST", "/", []byte{byte(a.body)})}
		handle, actions := owner.book.ClaimMinted(now, want, w.mints[number])
		a.handle = handle
		owner.waiting[handle] = a
		w.act(owner, actions)
		return
	}
	w.tally.CountFault("minter gone")
	w.tell(a, Unknown)
}

// act carries out the actions of an instance.
func (w *world) act(i *instance, actions Actions) {
	for _, number := range actions.Reads {
		w.messages = append(w.messages, &message{from: i, read: number})
	}
	for _, write := range actions.Writes {
		w.messages = append(w.messages, &message{from: i, write: &write, read: write.Shard})
	}
	for _, verdict := range actions.Decisions {
		w.decide(i, i.waiting[verdict.Handle], verdict)
		delete(i.waiting, verdict.Handle)
	}
}

func (w *world) decide(i *instance, a *attempt, verdict Decision) {
	switch verdict.Verdict {
	case Granted:
		a.won = true
	case HeldLocally:
		w.tell(a, i.book.Status(verdict.Sequence).State)
	case HeldRemotely:
		w.tell(a, w.ask(verdict.Entry))
	case Expired:
		w.tally.CountFault("expired")
		w.tell(a, Unknown)
	default:
		w.tell(a, NotRun)
	}
}

// ask asks the owner of a claim, or takes the record's word if the owner cannot be reached.
func (w *world) ask(entry Entry) State {
	for _, i := range w.instances {
		if i.name == entry.Owner && w.awake(i) && (w.between(0, 1) == 0) {
			return i.book.Status(entry.Sequence).State
		}
	}
	if entry.State == Done {
		return Done
	}
	return Unknown
}

// tell answers the caller; a claim that is running leaves the caller without an answer.
func (w *world) tell(a *attempt, state State) {
	if a.told || state == Running {
		return
	}
	a.told, a.state = true, state
}

// deliver brings one message to the service or back; either way may be lost, and a write may come late.
func (w *world) deliver() {
	if len(w.messages) == 0 {
		return
	}
	at := w.between(0, len(w.messages)-1)
	m := w.messages[at]
	if m.answered && !w.awake(m.from) {
		return
	}
	w.messages = append(w.messages[:at:at], w.messages[at+1:]...)
	if m.answered {
		w.receive(m)
		return
	}
	w.serve(m)
}

// serve lets the service handle a call.
func (w *world) serve(m *message) {
	switch {
	case w.outage:
		w.tally.CountFault("outage")
		m.failed, m.result = true, InDoubt
	case w.between(0, 9) == 0:
		w.tally.CountFault("throttled")
		m.failed, m.result = true, Refused
	case m.write != nil && w.between(0, 5) == 0:
		// The caller takes the write for lost while it is still on its way.
		w.tally.CountFault("late")
		w.messages = append(w.messages, &message{from: m.from, write: m.write, read: m.read, version: lateVersion})
		m.result = InDoubt
	default:
		w.execute(m)
		if m.version != lateVersion && w.between(0, 5) == 0 {
			w.tally.CountFault("lost")
			m.failed, m.result = true, InDoubt
		}
	}
	if m.version != lateVersion {
		m.answered = true
		w.messages = append(w.messages, m)
	}
}

// lateVersion marks a write whose answer nobody waits for.
const lateVersion = ^uint64(0)

func (w *world) execute(m *message) {
	current := w.records[m.read]
	if m.write == nil {
		m.version, m.record = current.version, current.record.Clone()
		return
	}
	if current.version != m.write.Expect {
		m.result = Conflict
		return
	}
	w.version++
	if m.write.Record.Epoch != current.record.Epoch {
		w.tally.CountFault("rotation")
	}
	w.records[m.read] = stored{version: w.version, record: m.write.Record.Clone()}
	if m.version != lateVersion {
		m.version, m.result = w.version, Written
	}
}

// receive brings the answer of the service to the instance.
func (w *world) receive(m *message) {
	if m.from.dead {
		return
	}
	now := w.local(m.from)
	if m.write == nil {
		w.act(m.from, m.from.book.HandleRead(now, m.read, m.version, m.record, m.failed))
		return
	}
	w.act(m.from, m.from.book.HandleWrite(now, m.read, m.version, m.result))
}

// advance takes one step of one attempt that has won its claim.
func (w *world) advance() {
	var able []*attempt
	for _, a := range w.attempts {
		if a.won && !a.told && w.awake(a.at) {
			able = append(able, a)
		}
	}
	if len(able) == 0 {
		return
	}
	a := pick(w, able)
	now := w.local(a.at)
	switch {
	case !a.started:
		a.started = true
		if !a.at.book.TryStart(now, a.handle) {
			w.tally.CountFault("too late")
			w.tell(a, NotRun)
		}
	case !a.sent:
		a.sent = true
		a.result = w.backend(a)
	default:
		w.act(a.at, a.at.book.Finish(now, a.handle, a.result, []byte("answer")))
		w.tell(a, a.result)
	}
}

// backend runs the request, or refuses it, or loses its answer.
func (w *world) backend(a *attempt) State {
	switch pick(w, []string{"run", "run", "refuse", "drop", "die"}) {
	case "run":
		a.runs++
		w.runs[a.key]++
		return Done
	case "refuse":
		w.tally.CountFault("refused")
		return NotRun
	case "drop":
		w.tally.CountFault("dropped")
		a.runs++
		w.runs[a.key]++
		return Unknown
	default:
		w.tally.CountFault("died")
		return Unknown
	}
}

// disturb freezes, ends or starts an instance, lets time pass, or begins or ends an outage.
func (w *world) disturb() {
	at := w.between(0, len(w.instances)-1)
	i := w.instances[at]
	faults := []string{"wait", "wait", "wait", "wait", "long wait", "freeze", "freeze", "restart", "restart", "outage"}
	if w.calm {
		faults = []string{"wait", "wait", "wait", "long wait", "long wait", "freeze"}
	}
	switch pick(w, faults) {
	case "wait":
		w.now += time.Duration(w.between(1, 5000)) * time.Millisecond
	case "long wait":
		w.now += time.Duration(w.between(5, 70)) * time.Second
	case "freeze":
		w.tally.CountFault("freeze")
		i.frozen = w.now + time.Duration(w.between(1, 240))*time.Second
	case "restart":
		w.tally.CountFault("restart")
		i.dead = true
		w.instances[at] = w.start()
	case "outage":
		w.outage = true
		w.recover = w.now + time.Duration(w.between(1, 60))*time.Second
	}
	w.outage = w.outage && w.now < w.recover
	for _, i := range w.instances {
		if w.awake(i) {
			w.act(i, i.book.Tick(w.local(i)))
		}
	}
}

// check compares what callers were told with the runs.
func (w *world) check() {
	for key, runs := range w.runs {
		if runs > 1 {
			w.tally.Failf(w.rt, "key %d ran %d times", key, runs)
		}
	}
	for _, a := range w.attempts {
		switch {
		case a.told && a.state == NotRun && a.runs != 0:
			w.tally.Failf(w.rt, "told not run, and ran %d times", a.runs)
		case a.told && a.state == Done && w.runs[a.key] != 1:
			w.tally.Failf(w.rt, "told done, and key %d ran %d times", a.key, w.runs[a.key])
		}
	}
}
