package poison

import (
	"fmt"
	"testing"
	"time"
)

// crashing is a request that crashes engines, with a part that only it and few sound requests have.
var crashing = Request{Digest: "crashing", Parts: []string{"own"}}

// observeCrashes returns a Finder that saw a number of engines crash under the crashing request, the first two of them also under a sound
// request each, with a part that they share.
func observeCrashes(engines int) *Finder {
	f := NewFinder("a")
	for i := range engines {
		engine := fmt.Sprint("engine", i)
		f.Crashed(start, engine, crashing, false)
		if i < 2 {
			f.Crashed(start, engine, Request{Digest: fmt.Sprint("sound", i), Parts: []string{"shared"}}, false)
		}
	}
	return f
}

// Guards against a request that goes on crashing engines since a part of sound prompts, which were in progress at some of its crashes,
// is taken for their cause.
func TestRequestIsBlockedBesideSoundParts(t *testing.T) {
	f := observeCrashes(MinRequestCrashes)
	f.Began(start.Add(time.Second), Request{Digest: "sound", Parts: []string{"own"}})
	cause, ok := f.Blocked(start.Add(time.Second), crashing)
	if got, want := cause, (Cause{Digest: "crashing"}); !ok || got != want {
		t.Errorf("got cause %v, blocked %v, want %v", got, ok, want)
	}
}

// Guards against sound prompts that are blocked since they share a part with others that were in progress when a request crashed engines.
func TestSoundPartIsSentBesideCrashingRequest(t *testing.T) {
	tests := []struct {
		engines int
		blocked bool
	}{
		{MinRequestCrashes - 1, true}, // the cause is not known yet
		{MinRequestCrashes, false},
	}
	for _, test := range tests {
		f := observeCrashes(test.engines)
		f.Began(start.Add(time.Second), Request{Digest: "other", Parts: []string{"own"}})
		cause, ok := f.Blocked(start.Add(time.Second), Request{Digest: "sound", Parts: []string{"shared"}})
		if got, want := ok, test.blocked; got != want {
			t.Errorf("%d crashes: got blocked %v (cause %v), want %v", test.engines, got, cause, want)
		}
	}
}

// Guards against a sound request that is blocked since it was in progress at some of the crashes under a part of prompts whose answers had
// begun.
func TestPartOfBegunAnswersExcusesRequest(t *testing.T) {
	f := NewFinder("a")
	for i := range MinRequestCrashes + 1 {
		engine := fmt.Sprint("engine", i)
		f.Crashed(start, engine, Request{Parts: []string{"poisoned"}}, true)
		if i < MinRequestCrashes {
			f.Crashed(start, engine, Request{Digest: "sound", Parts: []string{"shared"}}, true)
		}
	}
	if cause, ok := f.Blocked(start, Request{Digest: "sound"}); ok {
		t.Errorf("got the request blocked because of %v, want it sent", cause)
	}
}

// Guards against instances that tell each other of requests which have been answered.
func TestAnsweredRequestIsNotReported(t *testing.T) {
	f := NewFinder("a")
	f.Crashed(start, "engine", Request{Digest: "hot"}, false)
	if got := f.Evidence(start, 1).Requests.Crashes; len(got) != 1 {
		t.Fatalf("got %v reported, want the crash", got)
	}
	f.Answered(start.Add(time.Second), Request{Digest: "hot"})
	if got := f.Evidence(start.Add(time.Second), 1).Requests.Crashes; len(got) != 0 {
		t.Errorf("got %v reported after an answer, want nothing", got)
	}
}
