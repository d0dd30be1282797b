package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against a part that crashes engines after the begin of an answer staying free, because the begin counts as proof that it is
// sound, and against sound parts being blocked by crashes that an answer clears.
func TestFinderBlocks(t *testing.T) {
	crash := func(f *Finder, engines int, began bool) {
		for i := range engines {
			f.Crashed(start, fmt.Sprint("engine", i), Request{Parts: []string{"part"}}, began)
		}
	}
	tests := []struct {
		name    string
		observe func(f *Finder)
		want    bool
	}{
		{"two engines before the begin", func(f *Finder) { crash(f, MinCrashes, false) }, true},
		{"two engines after the begin", func(f *Finder) { crash(f, minAnswerCrashes-1, true) }, false},
		{"three engines after the begin", func(f *Finder) { crash(f, minAnswerCrashes, true) }, true},
		{"three engines after the begin of answers", func(f *Finder) {
			f.Began(start, Request{Parts: []string{"part"}})
			crash(f, minAnswerCrashes, true)
			f.Began(start.Add(time.Second), Request{Parts: []string{"part"}})
		}, true},
		{"an answer is whole shortly before", func(f *Finder) {
			f.Answered(start.Add(-time.Second), Request{Parts: []string{"part"}})
			crash(f, minAnswerCrashes, true)
		}, false},
		{"an answer is whole later", func(f *Finder) {
			crash(f, minAnswerCrashes, true)
			f.Answered(start.Add(time.Second), Request{Parts: []string{"part"}})
		}, false},
		{"an answer was whole long before", func(f *Finder) {
			f.Answered(start.Add(-2*clearMargin), Request{Parts: []string{"part"}})
			crash(f, minAnswerCrashes, true)
		}, true},
	}
	for _, test := range tests {
		f := NewFinder("a")
		test.observe(f)
		if _, got := f.Blocked(start.Add(time.Second), Request{Parts: []string{"part"}}); got != test.want {
			t.Errorf("%s: got blocked %v, want %v", test.name, got, test.want)
		}
		other := NewFinder("b")
		other.SetEvidence(start, map[string]Evidence{"a": f.Evidence(start, 1)})
		if _, got := other.Blocked(start.Add(time.Second), Request{Parts: []string{"part"}}); got != test.want {
			t.Errorf("%s: got blocked %v at another instance, want %v", test.name, got, test.want)
		}
	}
}

// Guards against each instance telling all others of the answers that were not whole at crashes whose cause is known, and against
// sound parts of these answers being blocked.
func TestExplainedCrashesAreNotReported(t *testing.T) {
	for _, explained := range []bool{true, false} {
		f := NewFinder("a")
		for i := range minAnswerCrashes {
			engine := fmt.Sprint("engine", i)
			f.Crashed(start, engine, Request{Parts: []string{"sound"}}, true)
			if explained {
				f.Crashed(start, engine, Request{Parts: []string{"poisoned"}}, false)
			}
		}
		if _, got := f.Blocked(start, Request{Parts: []string{"poisoned"}}); got != explained {
			t.Errorf("explained %v: got the poisoned part blocked %v", explained, got)
		}
		if _, got := f.Blocked(start, Request{Parts: []string{"sound"}}); got == explained {
			t.Errorf("explained %v: got the other part blocked %v", explained, got)
		}
		if got := len(f.Evidence(start, 1).Answers.Crashes) == 0; got != explained {
			t.Errorf("explained %v: got no crash of answers reported %v", explained, got)
		}
	}
}
