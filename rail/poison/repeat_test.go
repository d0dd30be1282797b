package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against sound prompts that are blocked for minutes because they share a part with a prompt that crashes engines as a whole: nothing
// clears the part while it is blocked. A part whose crashes no repeated request explains stays blocked.
func TestPartOfRepeatedRequestIsBlockedBriefly(t *testing.T) {
	tests := []struct {
		name    string
		repeats int // of the request that crashes engines, after they crashed
		every   time.Duration
		free    bool
	}{
		{"a request that comes again and again", 8, suspicionTTL / 8, true},
		{"a request that its caller tries again", 2, suspicionTTL / 2, false},
		{"attempts of one request", 8, time.Millisecond, false},
	}
	for _, test := range tests {
		f := NewFinder("a")
		crashing := Request{Digest: "crashing", Parts: []string{"shared"}}
		for i := range MinRequestCrashes {
			f.Crashed(start, fmt.Sprint("engine", i), crashing, false)
		}
		now := start
		for range test.repeats {
			now = now.Add(test.every)
			if _, ok := f.Blocked(now, crashing); !ok {
				t.Fatalf("%s: got the request sent, want it blocked", test.name)
			}
		}
		sound := Request{Digest: "sound", Parts: []string{"shared"}}
		if _, ok := f.Blocked(start.Add(suspicionTTL/2), sound); !ok {
			t.Errorf("%s: got the part sent soon after the crashes, want it blocked", test.name)
		}
		if _, ok := f.Blocked(start.Add(suspicionTTL+time.Second), sound); ok == test.free {
			t.Errorf("%s: got the part blocked %v later, want %v", test.name, ok, !test.free)
		}
		if _, ok := f.Blocked(start.Add(suspicionTTL+time.Second), crashing); !ok {
			t.Errorf("%s: got the request sent later, want it blocked", test.name)
		}
	}
}
