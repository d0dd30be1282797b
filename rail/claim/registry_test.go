package claim

import (
	"reflect"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
)

// fakeStore simulates the platform's store with one record; it responds to every call immediately.
type fakeStore struct {
	version uint64
	record  Record
	writes  int
}

// run executes actions until there are none, and returns the decisions.
func (s *fakeStore) run(now time.Time, r *Registry, actions Actions) (decisions []Decision) {
	for {
		decisions = append(decisions, actions.Decisions...)
		switch {
		case len(actions.Reads) > 0:
			actions = r.HandleRead(now, 0, s.version, s.record, false)
		case len(actions.Writes) > 0 && actions.Writes[0].Expect == s.version:
			s.version, s.record = s.version+1, actions.Writes[0].Record
			s.writes++
			actions = r.HandleWrite(now, 0, s.version, Written)
		case len(actions.Writes) > 0:
			actions = r.HandleWrite(now, 0, 0, Conflict)
		default:
			return decisions
		}
	}
}

func newRegistry(owner string) *Registry {
	return New(Config{
		Owner: owner, Shards: 1, Window: testWindow, MaxStartDelay: testMaxStartDelay, RetryDelay: time.Second,
		MaxClaims: 100, MaxEntries: 100, MaxResponseBytes: 16, MaxCachedBytes: 1000, Checker: new(invariant.Checker),
	})
}

func newRequest(now time.Time, key, body string) Request {
	return Request{Key: NewKey("w", "r", key), Digest: NewDigest("POST", "/", []byte(body)), Deadline: now.Add(time.Hour)}
}

// TestStartAfterFreeze covers an instance that freezes before its claim is committed until the record has dropped the key: the
// claim is then granted although the request ran elsewhere, and TryStart must refuse it.
func TestStartAfterFreeze(t *testing.T) {
	now := time.Unix(0, 0)
	s, frozen, other := new(fakeStore), newRegistry("frozen"), newRegistry("other")
	sequence, waiting := frozen.Claim(now, newRequest(now, "k", ""))
	otherSequence, actions := other.Claim(now, newRequest(now, "k", ""))
	s.run(now, other, actions)
	if !other.TryStart(now, otherSequence) {
		t.Fatal("got no start at the other instance, want one")
	}
	for _, key := range []string{"x", "y"} {
		now = now.Add(testWindow + testMaxStartDelay)
		_, actions = other.Claim(now, newRequest(now, key, ""))
		s.run(now, other, actions)
	}
	decisions := s.run(now, frozen, waiting)
	if len(decisions) != 1 || decisions[0].Verdict != Granted {
		t.Fatalf("got decisions %v, want one granted claim, too late to start", decisions)
	}
	if frozen.TryStart(now, sequence) {
		t.Error("got a start after MaxStartDelay, want none")
	}
}

// TestRotationWaitsForMaxStartDelay covers a duplicate at the end of the window whose claim is committed a little later: the
// record must still hold the first claim, so a rotation waits for MaxStartDelay beyond the window.
func TestRotationWaitsForMaxStartDelay(t *testing.T) {
	now := time.Unix(0, 0)
	s, owner, late, rotator := new(fakeStore), newRegistry("owner"), newRegistry("late"), newRegistry("rotator")
	claimAtRotator := func(key string) {
		_, actions := rotator.Claim(now, newRequest(now, key, ""))
		s.run(now, rotator, actions)
	}
	claimAtRotator("x")
	now = now.Add(testWindow + testMaxStartDelay)
	_, actions := owner.Claim(now, newRequest(now, "k", ""))
	s.run(now, owner, actions)
	now = now.Add(time.Millisecond)
	claimAtRotator("y")
	now = now.Add(testWindow - time.Millisecond)
	_, waiting := late.Claim(now, newRequest(now, "k", ""))
	now = now.Add(2 * time.Millisecond)
	claimAtRotator("z")
	decisions := s.run(now, late, waiting)
	if len(decisions) != 1 || decisions[0].Verdict != HeldInRecord {
		t.Errorf("got decisions %v, want HeldInRecord", decisions)
	}
	if got, want := s.record.Epoch, uint64(1); got != want {
		t.Errorf("got epoch %d, want %d", got, want)
	}
}

// TestDeletedRecord covers a record that is deleted: no claim is granted, and reads are retried after RetryDelay only.
func TestDeletedRecord(t *testing.T) {
	now := time.Unix(0, 0)
	s, r := new(fakeStore), newRegistry("a")
	_, actions := r.Claim(now, newRequest(now, "1", ""))
	s.run(now, r, actions)
	s.version, s.record = 0, Record{}
	now = now.Add(time.Second)
	_, actions = r.Claim(now, newRequest(now, "2", ""))
	if decisions := s.run(now, r, actions); len(decisions) != 0 {
		t.Errorf("got decisions %v after the record was deleted, want none yet", decisions)
	}
	if got, want := r.config.Checker.Violations(), uint64(1); got != want {
		t.Errorf("got %d violations, want %d", got, want)
	}
	now = now.Add(2 * time.Hour)
	decisions := r.Tick(now).Decisions
	if len(decisions) != 1 || decisions[0].Verdict != Unavailable {
		t.Errorf("got decisions %v after the deadline, want one Unavailable", decisions)
	}
}

// TestMaxCachedBytes guards against responses kept beyond MaxCachedBytes, and against a limit that stays used up after claims
// were removed.
func TestMaxCachedBytes(t *testing.T) {
	now := time.Unix(0, 0)
	s, r := new(fakeStore), newRegistry("a")
	finish := func(key string, size int) Status {
		sequence, actions := r.Claim(now, newRequest(now, key, ""))
		s.run(now, r, actions)
		if !r.TryStart(now, sequence) {
			t.Fatalf("got no start of %q, want one", key)
		}
		s.run(now, r, r.Finish(now, sequence, Done, make([]byte, size)))
		return r.Status(sequence)
	}
	if got, want := len(finish("1", 900).Response), 900; got != want {
		t.Errorf("got %d bytes kept, want %d", got, want)
	}
	if got := finish("2", 200); len(got.Response) != 0 || got.State != Done {
		t.Errorf("got %v above MaxCachedBytes, want Done without an answer", got)
	}
	now = now.Add(retentionWindows*testWindow + time.Second)
	s.run(now, r, r.Tick(now))
	if got, want := len(finish("3", 900).Response), 900; got != want {
		t.Errorf("got %d bytes kept after the first was removed, want %d", got, want)
	}
}

// TestClaimsInOneWrite checks that claims that arrive during a call are committed in one write.
func TestClaimsInOneWrite(t *testing.T) {
	now := time.Unix(0, 0)
	s, r := new(fakeStore), newRegistry("a")
	_, first := r.Claim(now, newRequest(now, "0", ""))
	for _, key := range []string{"1", "2", "3", "4"} {
		if _, actions := r.Claim(now, newRequest(now, key, "")); len(actions.Reads)+len(actions.Writes) != 0 {
			t.Fatalf("got actions %v while a call is in progress, want none", actions)
		}
	}
	decisions := s.run(now, r, first)
	if got, want := len(decisions), 5; got != want {
		t.Errorf("got %d decisions, want %d", got, want)
	}
	if got, want := s.writes, 1; got != want {
		t.Errorf("got %d writes, want %d", got, want)
	}
}

// TestDuplicate guards against a second run of a request with the same key, and against refusing a duplicate of one that did
// not run.
func TestDuplicate(t *testing.T) {
	tests := []struct {
		name  string
		state State
		body  string
		// atOwner reports whether the duplicate goes to the owner.
		atOwner bool
		want    Verdict
	}{
		{"running at the owner", Running, "", true, HeldLocally},
		{"running at another instance", Running, "", false, HeldInRecord},
		{"done at the owner", Done, "", true, HeldLocally},
		{"done at another instance", Done, "", false, HeldInRecord},
		{"not run at the owner", NotRun, "", true, Granted},
		{"not run at another instance", NotRun, "", false, Granted},
		{"unknown at another instance", Unknown, "", false, HeldInRecord},
		{"other body at the owner", Done, "other", true, Mismatch},
		{"other body at another instance", Done, "other", false, Mismatch},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(0, 0)
			s, owner, target := new(fakeStore), newRegistry("owner"), newRegistry("elsewhere")
			sequence, actions := owner.Claim(now, newRequest(now, "k", ""))
			s.run(now, owner, actions)
			if !owner.TryStart(now, sequence) {
				t.Fatal("got no start, want one")
			}
			if owner.TryStart(now, sequence) {
				t.Fatal("got a second start, want none")
			}
			if test.state != Running {
				s.run(now, owner, owner.Finish(now, sequence, test.state, []byte("answer")))
				now = now.Add(updateDelay)
				s.run(now, owner, owner.Tick(now))
			}
			if test.atOwner {
				target = owner
			}
			_, actions = target.Claim(now, newRequest(now, "k", test.body))
			decisions := s.run(now, target, actions)
			if len(decisions) != 1 || decisions[0].Verdict != test.want {
				t.Fatalf("got decisions %v, want verdict %d", decisions, test.want)
			}
			if got := string(decisions[0].Entry.Response); test.state == Done && test.want == HeldInRecord && got != "answer" {
				t.Errorf("got answer %q in the record, want %q", got, "answer")
			}
		})
	}
}

// TestEncode guards against a record that changes when it is encoded and decoded.
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

// FuzzDecode guards against a panic on a malformed record, and against a decoded record that cannot be encoded.
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
			t.Errorf("got error %v from encoding a decoded record", err)
		}
	})
}
