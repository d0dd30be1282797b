package claim

import (
	"fmt"
	"math/rand/v2"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// Window and MaxStartDelay of the registries in tests.
const (
	testWindow        = time.Minute
	testMaxStartDelay = 10 * time.Second
)

// storedRecord is a record in the simulated store.
type storedRecord struct {
	version uint64
	record  Record
}

// message is a call to the platform's store, or its response after the store has handled it.
type message struct {
	from    *instance
	write   *Write
	shard   int
	handled bool
	version uint64
	record  Record
	result  WriteResult
	failed  bool
}

// instance is one incarnation of the program.
type instance struct {
	name        string
	clockOffset time.Duration
	frozenUntil time.Duration
	dead        bool
	registry    *Registry
	// undecided holds the requests whose claim is not decided yet, by sequence.
	undecided map[uint64]*callerRequest
}

// callerRequest is one request of a caller, with its progress and its answer.
type callerRequest struct {
	key      int
	body     int
	target   *instance
	runs     int
	answered bool
	// answer is the state that the caller was told.
	answer   State
	sequence uint64
	// A granted request is started, then sent, then finished.
	granted bool
	started bool
	sent    bool
	// outcome is the state of the request as the backend server left it.
	outcome State
}

// simulation is one random history of instances, callers, backend servers and the platform's store.
type simulation struct {
	rt *rapid.T
	// rng draws uniformly, which rapid does not.
	rng          *rand.Rand
	tally        *proptest.Tally
	now          time.Duration
	version      uint64
	records      map[int]storedRecord
	outage       bool
	outageEnd    time.Duration
	messages     []*message
	instances    []*instance
	requests     []*callerRequest
	firstUse     map[int]time.Duration
	lastKey      int
	runs         map[int]int
	incarnations int
	// stable excludes restarts and outages and lengthens the waits, so that records are rotated often.
	stable bool
	// mintedKeys lists the keys that instances minted.
	mintedKeys []MintedKey
}

// firstMintedKey is the number of the first minted key, above the numbers of the callers' own keys.
const firstMintedKey = 1 << 20

// seedBytes is the size in bytes of the seed of one history.
const seedBytes = 32

// between returns a random number from low to high, both included.
func (s *simulation) between(low, high int) int { return low + s.rng.IntN(high-low+1) }

// pick returns a random one of the values.
func pick[T any](s *simulation, values []T) T { return values[s.rng.IntN(len(values))] }

func newSimulation(rt *rapid.T, tally *proptest.Tally) *simulation {
	seed := rapid.SliceOfN(rapid.Byte(), seedBytes, seedBytes).Draw(rt, "seed")
	s := &simulation{rt: rt, rng: rand.New(rand.NewChaCha8([seedBytes]byte(seed))), tally: tally, records: make(map[int]storedRecord), firstUse: make(map[int]time.Duration), runs: make(map[int]int)}
	for range s.between(1, 3) {
		s.instances = append(s.instances, s.start())
	}
	return s
}

// start returns a new incarnation whose clock is up to 1000 minutes ahead of the simulated time.
func (s *simulation) start() *instance {
	s.incarnations++
	owner := fmt.Sprintf("i%d", s.incarnations)
	checker := &invariant.Checker{Report: func(v *invariant.Violation) { s.tally.Failf(s.rt, "%v", v) }}
	offset := time.Duration(s.between(0, 1000)) * time.Minute
	return &instance{
		name: owner, clockOffset: offset,
		undecided: make(map[uint64]*callerRequest),
		registry: New(Config{
			Owner: owner, StartedAt: time.Unix(0, 0).Add(s.now + offset), Shards: 2, Window: testWindow, MaxStartDelay: testMaxStartDelay, RetryDelay: time.Second,
			MaxClaims: 1000, MaxEntries: 1000, MaxResponseBytes: 16, MaxCachedBytes: 1000, Checker: checker,
		}),
	}
}

// localTime returns the time on the clock of the instance.
func (s *simulation) localTime(i *instance) time.Time {
	return time.Unix(0, 0).Add(s.now + i.clockOffset)
}

func (s *simulation) running(i *instance) bool { return !i.dead && s.now >= i.frozenUntil }

// sendRequest sends a request with a key to a random instance; a key is used only within the window after its first use.
func (s *simulation) sendRequest() {
	key := s.between(max(0, s.lastKey-4), s.lastKey+s.between(0, 1))
	s.lastKey = max(s.lastKey, key)
	if first, ok := s.firstUse[key]; ok && s.now-first > testWindow {
		s.lastKey++
		key = s.lastKey
	}
	if _, ok := s.firstUse[key]; !ok {
		s.firstUse[key] = s.now
	}
	i := pick(s, s.instances)
	if !s.running(i) {
		return
	}
	r := &callerRequest{key: key, target: i}
	if s.between(0, 5) == 0 {
		s.tally.Count("body")
		r.body = 1
	}
	s.requests = append(s.requests, r)
	now := s.localTime(i)
	sequence, actions := i.registry.Claim(now, Request{
		Key:      NewKey("w", "r", fmt.Sprint(key)),
		Digest:   NewDigest("POST", "/", []byte{byte(r.body)}),
		Deadline: now.Add(time.Duration(s.between(1, 20)) * time.Second),
	})
	r.sequence = sequence
	i.undecided[sequence] = r
	s.perform(i, actions)
}

// sendMintedRequest sends a request with a minted key of any age to the instance that minted the key.
func (s *simulation) sendMintedRequest() {
	i := pick(s, s.instances)
	if !s.running(i) {
		return
	}
	if len(s.mintedKeys) == 0 || s.between(0, 3) == 0 {
		s.mintedKeys = append(s.mintedKeys, i.registry.Mint(s.localTime(i)))
	}
	number := s.between(max(0, len(s.mintedKeys)-4), len(s.mintedKeys)-1)
	r := &callerRequest{key: firstMintedKey + number, body: s.between(0, 4) / 4}
	s.requests = append(s.requests, r)
	for _, owner := range s.instances {
		if owner.name != s.mintedKeys[number].Owner || !s.running(owner) {
			continue
		}
		r.target = owner
		now := s.localTime(owner)
		request := Request{Key: NewKey("w", "r", fmt.Sprint(r.key)), Digest: NewDigest("POST", "/", []byte{byte(r.body)})}
		sequence, actions := owner.registry.ClaimMinted(now, request, s.mintedKeys[number])
		r.sequence = sequence
		owner.undecided[sequence] = r
		s.perform(owner, actions)
		return
	}
	s.tally.Count("minter lost")
	s.answer(r, Unknown)
}

// perform executes the actions of an instance.
func (s *simulation) perform(i *instance, actions Actions) {
	for _, number := range actions.Reads {
		s.messages = append(s.messages, &message{from: i, shard: number})
	}
	for _, write := range actions.Writes {
		s.messages = append(s.messages, &message{from: i, write: &write, shard: write.Shard})
	}
	for _, decision := range actions.Decisions {
		s.handleDecision(i, i.undecided[decision.Sequence], decision)
		delete(i.undecided, decision.Sequence)
	}
}

func (s *simulation) handleDecision(i *instance, r *callerRequest, decision Decision) {
	switch decision.Verdict {
	case Granted:
		r.granted = true
	case HeldLocally:
		s.answer(r, i.registry.Status(decision.HolderSequence).State)
	case HeldInRecord:
		s.answer(r, s.queryOwner(decision.Entry))
	case Expired:
		s.tally.Count("expired")
		s.answer(r, Unknown)
	default:
		s.answer(r, NotRun)
	}
}

// queryOwner returns the state that the owner of a claim reports. If the owner is unreachable, it returns Done if the entry is
// Done, or else Unknown.
func (s *simulation) queryOwner(entry Entry) State {
	for _, i := range s.instances {
		if i.name == entry.Owner && s.running(i) && (s.between(0, 1) == 0) {
			return i.registry.Status(entry.Sequence).State
		}
	}
	if entry.State == Done {
		return Done
	}
	return Unknown
}

// answer sends the caller the state of its request; a caller gets one answer at most, and none while the state is Running.
func (s *simulation) answer(r *callerRequest, state State) {
	if r.answered || state == Running {
		return
	}
	r.answered, r.answer = true, state
}

// deliver delivers a random call to the store, or a random response of the store to its instance; serve injects losses and
// late writes.
func (s *simulation) deliver() {
	if len(s.messages) == 0 {
		return
	}
	index := s.between(0, len(s.messages)-1)
	m := s.messages[index]
	if m.handled && !s.running(m.from) {
		return
	}
	s.messages = append(s.messages[:index:index], s.messages[index+1:]...)
	if m.handled {
		s.receive(m)
		return
	}
	s.serve(m)
}

// serve handles a call in the store, possibly with a fault.
func (s *simulation) serve(m *message) {
	switch {
	case s.outage:
		s.tally.Count("outage")
		m.failed, m.result = true, InDoubt
	case s.between(0, 9) == 0:
		s.tally.Count("throttled")
		m.failed, m.result = true, Refused
	case m.write != nil && s.between(0, 5) == 0:
		// The result for the instance is InDoubt, and the write takes effect later.
		s.tally.Count("late")
		s.messages = append(s.messages, &message{from: m.from, write: m.write, shard: m.shard, version: lateVersion})
		m.result = InDoubt
	default:
		s.apply(m)
		if m.version != lateVersion && s.between(0, 5) == 0 {
			s.tally.Count("lost")
			m.failed, m.result = true, InDoubt
		}
	}
	if m.version != lateVersion {
		m.handled = true
		s.messages = append(s.messages, m)
	}
}

// lateVersion is the version of a message that carries a late write, whose response is dropped.
const lateVersion = ^uint64(0)

// apply reads or writes the record of a call.
func (s *simulation) apply(m *message) {
	current := s.records[m.shard]
	if m.write == nil {
		m.version, m.record = current.version, current.record.Clone()
		return
	}
	if current.version != m.write.Expect {
		m.result = Conflict
		return
	}
	s.version++
	if m.write.Record.Epoch != current.record.Epoch {
		s.tally.Count("rotation")
	}
	s.records[m.shard] = storedRecord{version: s.version, record: m.write.Record.Clone()}
	if m.version != lateVersion {
		m.version, m.result = s.version, Written
	}
}

// receive delivers the response of the store to the instance.
func (s *simulation) receive(m *message) {
	if m.from.dead {
		return
	}
	now := s.localTime(m.from)
	if m.write == nil {
		s.perform(m.from, m.from.registry.HandleRead(now, m.shard, m.version, m.record, m.failed))
		return
	}
	s.perform(m.from, m.from.registry.HandleWrite(now, m.shard, m.version, m.result))
}

// stepRequest executes the next step of a random request whose claim was granted.
func (s *simulation) stepRequest() {
	var runnable []*callerRequest
	for _, r := range s.requests {
		if r.granted && !r.answered && s.running(r.target) {
			runnable = append(runnable, r)
		}
	}
	if len(runnable) == 0 {
		return
	}
	r := pick(s, runnable)
	now := s.localTime(r.target)
	switch {
	case !r.started:
		r.started = true
		if !r.target.registry.TryStart(now, r.sequence) {
			s.tally.Count("too late")
			s.answer(r, NotRun)
		}
	case !r.sent:
		r.sent = true
		r.outcome = s.runBackend(r)
	default:
		s.perform(r.target, r.target.registry.Finish(now, r.sequence, r.outcome, []byte("answer")))
		s.answer(r, r.outcome)
	}
}

// runBackend runs the request, refuses it, loses its answer or fails before it runs.
func (s *simulation) runBackend(r *callerRequest) State {
	switch pick(s, []string{"run", "run", "refuse", "drop", "die"}) {
	case "run":
		r.runs++
		s.runs[r.key]++
		return Done
	case "refuse":
		s.tally.Count("refused")
		return NotRun
	case "drop":
		s.tally.Count("dropped")
		r.runs++
		s.runs[r.key]++
		return Unknown
	default:
		s.tally.Count("died")
		return Unknown
	}
}

// injectFault advances the time, freezes or restarts an instance, or begins an outage, and then calls Tick of each running instance.
func (s *simulation) injectFault() {
	index := s.between(0, len(s.instances)-1)
	i := s.instances[index]
	faults := []string{"wait", "wait", "wait", "wait", "long wait", "freeze", "freeze", "restart", "restart", "outage"}
	if s.stable {
		faults = []string{"wait", "wait", "wait", "long wait", "long wait", "freeze"}
	}
	switch pick(s, faults) {
	case "wait":
		s.now += time.Duration(s.between(1, 5000)) * time.Millisecond
	case "long wait":
		s.now += time.Duration(s.between(5, 70)) * time.Second
	case "freeze":
		s.tally.Count("freeze")
		i.frozenUntil = s.now + time.Duration(s.between(1, 240))*time.Second
	case "restart":
		s.tally.Count("restart")
		i.dead = true
		s.instances[index] = s.start()
	case "outage":
		s.outage = true
		s.outageEnd = s.now + time.Duration(s.between(1, 60))*time.Second
	}
	s.outage = s.outage && s.now < s.outageEnd
	for _, i := range s.instances {
		if s.running(i) {
			s.perform(i, i.registry.Tick(s.localTime(i)))
		}
	}
}

// checkAnswers checks that no key ran twice and that the callers' answers match the runs.
func (s *simulation) checkAnswers() {
	for key, runs := range s.runs {
		if runs > 1 {
			s.tally.Failf(s.rt, "key %d ran %d times", key, runs)
		}
	}
	for _, r := range s.requests {
		switch {
		case r.answered && r.answer == NotRun && r.runs != 0:
			s.tally.Failf(s.rt, "answered not run, but ran %d times", r.runs)
		case r.answered && r.answer == Done && s.runs[r.key] != 1:
			s.tally.Failf(s.rt, "answered done, but key %d ran %d times", r.key, s.runs[r.key])
		}
	}
}
