package poison

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"
)

// crashed records the crash of a server under each of the requests before their answers began.
func crashed(f *Finder, at time.Duration, server int, digests ...string) {
	for _, digest := range digests {
		f.Crashed(start.Add(at), fmt.Sprint("server", server), Request{Digest: digest}, false)
	}
}

// answered records the whole answer to a request.
func answered(f *Finder, at time.Duration, digest string) {
	f.Answered(start.Add(at), Request{Digest: digest})
}

// Guards against requests that go on crashing servers, and against sound ones being blocked that were in progress at the same crashes.
func TestRequestIsBlocked(t *testing.T) {
	tests := []struct {
		name          string
		observe       func(f *Finder)
		blocked, free []string
	}{
		{"two crashes", func(f *Finder) {
			crashed(f, 0, 1, "crashing")
			crashed(f, 0, 2, "crashing")
		}, nil, []string{"crashing"}},
		{"three requests at one crash", func(f *Finder) {
			for range 3 {
				crashed(f, 0, 1, "crashing")
			}
		}, nil, []string{"crashing"}},
		{"three crashes", func(f *Finder) {
			for i := range 3 {
				crashed(f, 0, i, "crashing")
			}
		}, []string{"crashing"}, []string{"other"}},
		{"three crashes over a minute", func(f *Finder) {
			for i := range 3 {
				crashed(f, time.Duration(i-3)*20*time.Second, i, "crashing")
			}
		}, []string{"crashing"}, nil},
		{"a request that is answered beside the crashes", func(f *Finder) {
			for i := range 4 {
				crashed(f, time.Duration(i)*time.Second, i, "crashing", "hot")
				answered(f, time.Duration(i)*time.Second+time.Second/2, "hot")
			}
		}, []string{"crashing"}, []string{"hot"}},
		{"a request that was answered shortly before", func(f *Finder) {
			answered(f, 0, "hot")
			for i := range 3 {
				crashed(f, clearMargin/2, i, "crashing", "hot")
			}
		}, []string{"crashing"}, []string{"hot"}},
		{"two that share all crashes don't protect each other", func(f *Finder) {
			for i := range 3 {
				crashed(f, 0, i, "first", "second")
			}
		}, []string{"first", "second"}, nil},
		{"one that was in progress at three of four crashes", func(f *Finder) {
			for i := range 3 {
				crashed(f, 0, i, "crashing", "sound")
			}
			crashed(f, 0, 3, "crashing")
		}, []string{"crashing"}, []string{"sound"}},
		{"one that crashes a further server by itself", func(f *Finder) {
			for i := range 3 {
				crashed(f, 0, i, "first", "second")
			}
			crashed(f, 0, 3, "first")
			crashed(f, 0, 4, "second")
		}, []string{"first", "second"}, nil},
		{"crashes that a part explains", func(f *Finder) {
			for i := range 3 {
				f.Crashed(start, fmt.Sprint("engine", i), Request{Digest: "sound"}, false)
				f.Crashed(start, fmt.Sprint("engine", i), Request{Parts: []string{"poisoned"}}, false)
			}
		}, nil, []string{"sound"}},
	}
	for _, test := range tests {
		f := NewFinder("a")
		test.observe(f)
		now := start.Add(5 * time.Second)
		for _, digest := range test.blocked {
			if _, ok := f.Blocked(now, Request{Digest: digest}); !ok {
				t.Errorf("%s: got %s sent, want it blocked", test.name, digest)
			}
		}
		for _, digest := range test.free {
			if cause, ok := f.Blocked(now, Request{Digest: digest}); ok {
				t.Errorf("%s: got %s blocked because of %v, want it sent", test.name, digest, cause)
			}
		}
	}
}

// Guards against crashes that only their own instance counts: each sees one, and one that starts later none.
func TestCrashesUnderRequestAreShared(t *testing.T) {
	evidence := make(map[string]Evidence)
	heard := NewFinder("heard")
	for i := range 3 {
		name := fmt.Sprint("instance", i)
		f := NewFinder(name)
		crashed(f, 0, i, "crashing")
		evidence[name] = f.Evidence(start, 4)
		for _, told := range f.CrashOf(fmt.Sprint("server", i)) {
			heard.Heard(start, name, told)
		}
	}
	later := NewFinder("later")
	later.SetEvidence(start, evidence)
	for name, f := range map[string]*Finder{"heard": heard, "later": later} {
		if _, ok := f.Blocked(start, Request{Digest: "crashing"}); !ok {
			t.Errorf("%s: got the request sent, want it blocked", name)
		}
	}
}

// Guards against an answer that clears a request only where it was seen.
func TestAnswerElsewhereClearsRequest(t *testing.T) {
	a, b := NewFinder("a"), NewFinder("b")
	for i := range 3 {
		crashed(a, 0, i, "sound")
	}
	b.SetEvidence(start, map[string]Evidence{"a": a.Evidence(start, 2)})
	answered(b, time.Second, "sound")
	b.Evidence(start.Add(time.Second), 2) // decides how long to wait for others to tell the same
	a.SetEvidence(start, map[string]Evidence{"b": b.Evidence(start.Add(2*time.Second), 2)})
	if cause, ok := a.Blocked(start.Add(2*time.Second), Request{Digest: "sound"}); ok {
		t.Errorf("got the request blocked because of %v, want it sent", cause)
	}
}

// Guards against a request that is never found because an engine crashed under more requests than a report holds.
func TestCrashingRequestIsNotCrowdedOut(t *testing.T) {
	f := NewFinder("a")
	for i := range 5 {
		for n := range 2 * maxParts {
			crashed(f, 0, i, fmt.Sprintf("sound%d-%d", i, n))
			if i == 0 && n == 0 || n == 2*maxParts-1 {
				crashed(f, 0, i, "crashing")
			}
		}
	}
	if _, ok := f.Blocked(start, Request{Digest: "crashing"}); !ok {
		t.Error("got the request sent, want it blocked")
	}
	evidence := f.Evidence(start, 1)
	if err := evidence.Requests.check(); err != nil {
		t.Errorf("got %v, want a report that others accept", err)
	}
	for _, crash := range evidence.Requests.Crashes {
		if !slices.Contains(crash.Parts, "crashing") {
			t.Errorf("got %v reported of %s, want the request among them", crash.Parts, crash.Engine)
		}
	}
}

// Guards against memory that grows with the requests of a caller who draws paths at random.
func TestDrawnRequestsAreBounded(t *testing.T) {
	f := NewFinder("a")
	for i := range 4 * maxSurvived {
		at := time.Duration(i) * time.Millisecond / 4
		answered(f, at, fmt.Sprint("drawn", i))
		if i%8 == 0 {
			crashed(f, at, i/64, fmt.Sprint("crashed", i))
		}
	}
	if got := len(f.requests.survived); got > maxSurvived {
		t.Errorf("got %d answered requests kept, want %d at most", got, maxSurvived)
	}
	if got, want := len(f.requests.index.listed), maxCrashes*maxParts; got > want {
		t.Errorf("got %d requests under which servers crashed kept, want %d at most", got, want)
	}
	if got := len(f.requests.crashes); got > maxCrashes {
		t.Errorf("got %d crashes kept, want %d at most", got, maxCrashes)
	}
}

// Guards against records of older instances that are refused, and against older instances that refuse those of this one.
func TestEvidenceOfOtherVersions(t *testing.T) {
	old := `{"crashes":[{"engine":"e","parts":["p"]}],"cleared":null,"answers":{"crashes":null,"cleared":null}}`
	evidence, err := DecodeEvidence([]byte(old))
	if err != nil || len(evidence.Crashes) != 1 || !evidence.Requests.isEmpty() {
		t.Errorf("got %v, %v, want the crash of an older record", evidence, err)
	}
	f := NewFinder("a")
	crashed(f, 0, 1, "crashing")
	f.Crashed(start, "e", Request{Parts: []string{"p"}}, false)
	value, err := f.Evidence(start, 1).Encode()
	if err != nil {
		t.Fatal(err)
	}
	var older struct {
		Report

		Answers Report `json:"answers"`
	}
	if err = json.Unmarshal(value, &older); err != nil || len(older.Crashes) != 1 {
		t.Errorf("got %v, %v, want a record that older instances read", older, err)
	}
}

// Guards against requests that share a digest although their answers may differ, and against one that gets another with each attempt.
func TestDigest(t *testing.T) {
	want := Digest("POST", "host", "/path?a=1", "caller", []byte("body"))
	if got := Digest("POST", "host", "/path?a=1", "caller", []byte("body")); got != want || len(got) != 16 {
		t.Errorf("got %q, want %q of 16 characters", got, want)
	}
	for _, fields := range [][5]string{
		{"PUT", "host", "/path?a=1", "caller", "body"},
		{"POST", "other", "/path?a=1", "caller", "body"},
		{"POST", "host", "/path?a=2", "caller", "body"},
		{"POST", "host", "/path?a=1", "other", "body"},
		{"POST", "host", "/path?a=1", "caller", "other"},
		{"POST", "host", "/path?a=1c", "aller", "body"},
		{"POST", "host", "/path?a=1", "callerb", "ody"},
	} {
		if got := Digest(fields[0], fields[1], fields[2], fields[3], []byte(fields[4])); got == want {
			t.Errorf("got the same digest for %v, want another", fields)
		}
	}
}

// BenchmarkDigest measures what a digest costs by the size of the body.
func BenchmarkDigest(b *testing.B) {
	for _, size := range []int{1 << 10, 64 << 10, 4 << 20} {
		body := make([]byte, size)
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			b.SetBytes(int64(size))
			for b.Loop() {
				Digest("POST", "host", "/path", "caller", body)
			}
		})
	}
}

// Guards against a large fleet that learns too late of the third crash, of whose engines parts are known as well: each instance must block
// the request within 4 s.
func TestLargeFleetLearnsOfCrashingRequestInTime(t *testing.T) {
	const within = 4 * time.Second
	tests := []struct {
		name     string
		interval time.Duration // between crashes
		began    bool          // whether answers had begun
	}{
		{"before the answers, at once", 0, false},
		{"before the answers, one after the other", 2 * time.Second, false},
		{"in the answers, one after the other", 2 * time.Second, true},
	}
	for _, test := range tests {
		if got := learnCrashingRequest(t, test.interval, test.began); got > within {
			t.Errorf("%s: got the request blocked %v after the third crash, want %v at most", test.name, got, within)
		} else {
			t.Logf("%s: %v", test.name, got)
		}
	}
}

// learnCrashingRequest returns how long after the third crash under a request an instance of a large fleet blocks it that saw none and
// knows of them from the store alone. Each crash was seen by another instance.
func learnCrashingRequest(t *testing.T, interval time.Duration, began bool) time.Duration {
	t.Helper()
	const (
		instances = 195
		tick      = 250 * time.Millisecond
		storeLag  = time.Second // until the others know what one has written
		longest   = 10 * time.Second
	)
	evidence, visible := make(map[string]Evidence), make(map[time.Time]map[string]Evidence)
	finders, written := make([]*Finder, MinRequestCrashes+1), make([]time.Time, MinRequestCrashes+1)
	for i := range finders {
		finders[i] = NewFinder(fmt.Sprint("instance", i))
	}
	third := start.Add((MinRequestCrashes - 1) * interval)
	for now := start; now.Before(third.Add(longest)); now = now.Add(tick) {
		for i, finder := range finders {
			if i < MinRequestCrashes && now.Equal(start.Add(time.Duration(i)*interval)) {
				request := Request{Digest: "crashing", Parts: []string{fmt.Sprint("shared", i)}}
				finder.Crashed(now, fmt.Sprint("engine", i), request, began)
			}
			if known := visible[now]; known != nil {
				finder.SetEvidence(now, known)
			}
			told := finder.Evidence(now, instances)
			value, err := told.Encode()
			if err != nil {
				t.Fatal(err)
			}
			if !told.IsEmpty() && now.Sub(written[i]) >= WriteInterval(instances, len(value)) {
				written[i], evidence[fmt.Sprint("instance", i)] = now, told
			}
		}
		visible[now.Add(storeLag)] = maps.Clone(evidence)
		if _, ok := finders[MinRequestCrashes].Blocked(now, Request{Digest: "crashing"}); ok {
			return now.Sub(third)
		}
	}
	return longest
}

// Guards against the announcement of a crash that does not fit into a datagram because an engine crashed under many requests.
func TestAnnouncementFitsDatagram(t *testing.T) {
	const maxBytes = 1300
	f := NewFinder("a")
	engine := "i-0123456789abcdef0@1777385914000"
	for i := range 2 * maxParts {
		digest := Digest("POST", "host", fmt.Sprint(i), "", nil)
		f.Crashed(start, engine, Request{Digest: digest, Parts: []string{fmt.Sprintf("%08x:%d", i, i)}}, false)
	}
	told := f.CrashOf(engine)
	if len(told) != 2 {
		t.Fatalf("got %d announcements, want one of parts and one of requests", len(told))
	}
	for _, evidence := range told {
		value, err := evidence.Encode()
		if err != nil || len(value) > maxBytes {
			t.Errorf("got %d bytes, %v, want %d at most", len(value), err, maxBytes)
		}
	}
}
