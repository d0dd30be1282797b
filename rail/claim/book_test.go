package claim

import (
	"reflect"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// service is one record that answers every call at once.
type service struct {
	version uint64
	record  Record
	writes  int
}

// run carries out actions until there are none, and returns the verdicts.
func (s *service) run(now time.Time, b *Registry, actions Actions) (verdicts []Decision) {
	for {
		verdicts = append(verdicts, actions.Decisions...)
		switch {
		case len(actions.Reads) > 0:
			actions = b.HandleRead(now, 0, s.version, s.record, false)
		case len(actions.Writes) > 0 && actions.Writes[0].Expect == s.version:
			s.version, s.record = s.version+1, actions.Writes[0].Record
			s.writes++
			actions = b.HandleWrite(now, 0, s.version, Written)
		case len(actions.Writes) > 0:
			actions = b.HandleWrite(now, 0, 0, Conflict)
		default:
			return verdicts
		}
	}
}

func newBook(owner string) *Registry {
	return New(Config{
		Owner: owner, Shards: 1, Window: testWindow, MaxStartDelay: testBound, RetryDelay: time.Second,
		MaxClaims: 100, MaxEntries: 100, MaxResponseBytes: 16, MaxCachedBytes: 1000, Checker: new(invariant.Checker),
	})
}

func want(now time.Time, key, body string) Request {
	return Request{Key: NewKey("w", "r", key), Digest: NewDigest("POST", "/", []byte(body)), Deadline: now.Add(time.Hour)}
}

// TestStartAfterFreeze covers a claimant that freezes before its claim is committed, until the key is forgotten.
func TestStartAfterFreeze(t *testing.T) {
	now := time.Unix(0, 0)
	s, frozen, other := new(service), newBook("frozen"), newBook("other")
	handle, waiting := frozen.Claim(now, want(now, "k", ""))
	otherHandle, actions := other.Claim(now, want(now, "k", ""))
	s.run(now, other, actions)
	if !other.TryStart(now, otherHandle) {
		t.Fatal("got no start at the other instance, want one")
	}
	for _, key := range []string{"x", "y"} {
		now = now.Add(testWindow + testBound)
		_, actions = other.Claim(now, want(now, key, ""))
		s.run(now, other, actions)
	}
	verdicts := s.run(now, frozen, waiting)
	if len(verdicts) != 1 || verdicts[0].Verdict != Granted {
		t.Fatalf("got verdicts %v, want a claim that is won too late", verdicts)
	}
	if frozen.TryStart(now, handle) {
		t.Error("got a start after the bound, want none")
	}
}

// TestRotationWaitsForBound covers a repeat at the end of the window whose claim is committed a little later.
func TestRotationWaitsForBound(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, late, rotator := new(service), newBook("owner"), newBook("late"), newBook("rotator")
	rotate := func(key string) {
		_, actions := rotator.Claim(now, want(now, key, ""))
		s.run(now, rotator, actions)
	}
	rotate("x")
	now = now.Add(testWindow + testBound)
	_, actions := owner.Claim(now, want(now, "k", ""))
	s.run(now, owner, actions)
	now = now.Add(time.Millisecond)
	rotate("y")
	now = now.Add(testWindow - time.Millisecond)
	_, waiting := late.Claim(now, want(now, "k", ""))
	now = now.Add(2 * time.Millisecond)
	rotate("z")
	verdicts := s.run(now, late, waiting)
	if len(verdicts) != 1 || verdicts[0].Verdict != HeldRemotely {
		t.Errorf("got verdicts %v, want that another holds the key", verdicts)
	}
	if got, want := s.record.Epoch, uint64(1); got != want {
		t.Errorf("got epoch %d, want %d", got, want)
	}
}

// TestDeletedRecord covers a record that vanishes: claims fail closed and the service is not read without pause.
func TestDeletedRecord(t *testing.T) {
	now := time.Unix(0, 0)
	s, b := new(service), newBook("a")
	_, actions := b.Claim(now, want(now, "1", ""))
	s.run(now, b, actions)
	s.version, s.record = 0, Record{}
	now = now.Add(time.Second)
	_, actions = b.Claim(now, want(now, "2", ""))
	if verdicts := s.run(now, b, actions); len(verdicts) != 0 {
		t.Errorf("got verdicts %v on a record that vanished, want none yet", verdicts)
	}
	if got, want := b.config.Checker.Violations(), uint64(1); got != want {
		t.Errorf("got %d violations, want %d", got, want)
	}
	now = now.Add(2 * time.Hour)
	verdicts := b.Tick(now).Decisions
	if len(verdicts) != 1 || verdicts[0].Verdict != Unavailable {
		t.Errorf("got verdicts %v after the deadline, want one that the claim is unavailable", verdicts)
	}
}

// TestKeptAnswers covers the bound on the answers that an instance keeps.
func TestKeptAnswers(t *testing.T) {
	now := time.Unix(0, 0)
	s, b := new(service), newBook("a")
	finish := func(key string, size int) Status {
		handle, actions := b.Claim(now, want(now, key, ""))
		s.run(now, b, actions)
		if !b.TryStart(now, handle) {
			t.Fatalf("got no start of %q, want one", key)
		}
		s.run(now, b, b.Finish(now, handle, Done, make([]byte, size)))
		return b.Status(handle)
	}
	if got, want := len(finish("1", 900).Response), 900; got != want {
		t.Errorf("got %d bytes kept, want %d", got, want)
	}
	if got := finish("2", 200); len(got.Response) != 0 || got.State != Done {
		t.Errorf("got %v above the bound, want done without an answer", got)
	}
	now = now.Add(forgetWindows*testWindow + time.Second)
	s.run(now, b, b.Tick(now))
	if got, want := len(finish("3", 900).Response), 900; got != want {
		t.Errorf("got %d bytes kept after the first was forgotten, want %d", got, want)
	}
}

// TestClaimsInOneWrite covers the group commit.
func TestClaimsInOneWrite(t *testing.T) {
	now := time.Unix(0, 0)
	s, b := new(service), newBook("a")
	_, first := b.Claim(now, want(now, "0", ""))
	for _, key := range []string{"1", "2", "3", "4"} {
		if _, actions := b.Claim(now, want(now, key, "")); len(actions.Reads)+len(actions.Writes) != 0 {
			t.Fatalf("got actions %v while a call is on its way, want none", actions)
		}
	}
	verdicts := s.run(now, b, first)
	if got, want := len(verdicts), 5; got != want {
		t.Errorf("got %d verdicts, want %d", got, want)
	}
	if got, want := s.writes, 1; got != want {
		t.Errorf("got %d writes, want %d", got, want)
	}
}

func TestRepeat(t *testing.T) {
	tests := []struct {
		name  string
		state State
		body  string
		// same tells that the repeat goes to the owner.
		same bool
		want Verdict
	}{
		{"running at the owner", Running, "", true, HeldLocally},
		{"running elsewhere", Running, "", false, HeldRemotely},
		{"done at the owner", Done, "", true, HeldLocally},
		{"done elsewhere", Done, "", false, HeldRemotely},
		{"not run at the owner", NotRun, "", true, Granted},
		{"not run elsewhere", NotRun, "", false, Granted},
		{"unknown elsewhere", Unknown, "", false, HeldRemotely},
		{"another body at the owner", Done, "other", true, Mismatch},
		{"another body elsewhere", Done, "other", false, Mismatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s, owner, at := new(service), newBook("owner"), newBook("elsewhere")
			handle, actions := owner.Claim(now, want(now, "k", ""))
			s.run(now, owner, actions)
			if !owner.TryStart(now, handle) {
				t.Fatal("got no start, want one")
			}
			if owner.TryStart(now, handle) {
				t.Fatal("got a second start, want none")
			}
			if test.state != Running {
				s.run(now, owner, owner.Finish(now, handle, test.state, []byte("answer")))
				now = now.Add(markLinger)
				s.run(now, owner, owner.Tick(now))
			}
			if test.same {
				at = owner
			}
			_, actions = at.Claim(now, want(now, "k", test.body))
			verdicts := s.run(now, at, actions)
			if len(verdicts) != 1 || verdicts[0].Verdict != test.want {
				t.Fatalf("got verdicts %v, want decision %d", verdicts, test.want)
			}
			if got := string(verdicts[0].Entry.Response); test.state == Done && test.want == HeldRemotely && got != "answer" {
				t.Errorf("got answer %q in the record, want %q", got, "answer")
			}
		})
	}
}

func TestEncode(t *testing.T) {
	record := Record{
		Epoch:    3,
		Current:  map[Key]Entry{{1}: {Digest: Digest{2}, Owner: "a", Sequence: 4, State: Done, Response: []byte("x")}},
		Previous: map[Key]Entry{{5}: {Digest: Digest{6}, Owner: "a", Sequence: 7}},
	}
	encoded, err := record.Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(encoded)
	if err != nil || !reflect.DeepEqual(got, record) {
		t.Errorf("got %v (%v), want %v", got, err, record)
	}
}

func FuzzDecode(f *testing.F) {
	record := Record{Current: map[Key]Entry{{1}: {Owner: "a"}}}
	encoded, err := record.Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(encoded)
	f.Fuzz(func(t *testing.T, encoded []byte) {
		record, err := Decode(encoded)
		if err != nil {
			return
		}
		if _, err = record.Encode(); err != nil {
			t.Errorf("got error %v from encoding what was decoded", err)
		}
	})
}
