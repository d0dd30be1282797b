package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a blocked request that is sent again because servers crashed for other reasons since: these crashes, each under requests
// that were answered or that came once, took the place of the three that block it.
func TestBlockedRequestStaysBlockedAfterOtherCrashes(t *testing.T) {
	tests := []struct {
		name   string
		record func(f *Finder, server int)
	}{
		{"under a request that has just been answered", func(f *Finder, server int) {
			answered(f, time.Second, "hot")
			crashed(f, time.Second, server, "hot")
		}},
		{"under a request that came once", func(f *Finder, server int) { crashed(f, time.Second, server, fmt.Sprint("once", server)) }},
		{"that others announced", func(f *Finder, server int) {
			crash := Crash{Engine: fmt.Sprint("server", server), Parts: []string{fmt.Sprint("once", server)}}
			f.Heard(start.Add(time.Second), "other", Evidence{Requests: Report{Crashes: []Crash{crash}}})
		}},
	}
	for _, test := range tests {
		for _, isOwn := range []bool{true, false} {
			f := NewFinder("a")
			for i := range MinRequestCrashes {
				if isOwn {
					crashed(f, 0, i, "crashing")
					continue
				}
				crash := Crash{Engine: fmt.Sprint("server", i), Parts: []string{"crashing"}}
				f.Heard(start, "other", Evidence{Requests: Report{Crashes: []Crash{crash}}})
			}
			for i := range 2 * maxHeard {
				test.record(f, MinRequestCrashes+i)
			}
			if _, ok := f.Blocked(start.Add(2*time.Second), Request{Digest: "crashing"}); !ok {
				t.Errorf("crashes %s, own %v: got the request sent, want it blocked", test.name, isOwn)
			}
		}
	}
}

// Guards against a request of whose crash the others aren't told, because the parts of its prompt weren't kept beside those of requests that
// had just been answered, so that its own part seemed to explain the crashes.
func TestOwnPartExcusesNoReportedRequest(t *testing.T) {
	f := NewFinder("a")
	for i := range 2 * maxParts {
		answered(f, 0, fmt.Sprint("hot", i))
	}
	request := Request{Digest: "crashing", Parts: []string{"own"}}
	for engine := range MinRequestCrashes {
		for i := range 2 * maxParts {
			f.Crashed(start, fmt.Sprint("engine", engine), Request{Digest: fmt.Sprint("hot", i)}, false)
		}
		f.Crashed(start, fmt.Sprint("engine", engine), request, false)
	}
	if got := len(f.Evidence(start, 1).Requests.Crashes); got != MinRequestCrashes {
		t.Errorf("got %d crashes under the request told, want %d", got, MinRequestCrashes)
	}
}
