package pipeline

import (
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// streamsOn starts requests that all pass through the given engines.
func streamsOn(c *Chooser, path Path, count int) {
	for range count {
		c.Started(start, path, usual)
	}
}

func pathOver(servers []backend.Server) (path Path) {
	for _, server := range servers {
		path = append(path, Stage{Server: server, Layers: server.Layers})
	}
	return path
}

// progress lets a path make progress every interval until the end.
func progress(c *Chooser, path Path, from time.Time, interval, length time.Duration) {
	for at := time.Duration(0); at <= length; at += interval {
		c.Progressed(from.Add(at), path, interval)
	}
}

const leastSilence = 90 * time.Millisecond

// One engine of a third of the paths dies while the others go on: it alone is mute, for every request through it, whichever
// made progress last; one that did not answer is dead at once for all of them.
func TestMuteAndDeadFindTheDeadEngine(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	through, around := pathOver(large), pathOver(append(append(large[:2:2], small[4:6]...), large[3]))
	streamsOn(c, through, 1)
	progress(c, through, start, 30*time.Millisecond, time.Second)
	progress(c, around, start, 30*time.Millisecond, 2*time.Second)
	died := start.Add(time.Second)
	tests := []struct {
		after time.Duration
		want  []int
	}{{50 * time.Millisecond, nil}, {120 * time.Millisecond, []int{2}}}
	for _, test := range tests {
		if got := c.SilentStages(died.Add(test.after), through, leastSilence); !slices.Equal(got, test.want) {
			t.Errorf("after %v: got stages %v, want %v", test.after, got, test.want)
		}
	}
	now := died.Add(120 * time.Millisecond)
	if stage, got := c.DeadStage(now, through, leastSilence); got {
		t.Errorf("got stage %d, want none before an engine was asked", stage)
	}
	c.ProbeFailed(now, "a-large-2")
	if stage, got := c.DeadStage(now, through, leastSilence); !got || stage != 2 {
		t.Errorf("got stage %d, %v, want 2", stage, got)
	}
}

// An engine that is twelve times slower emits now and then and answers: it is slow, not dead.
func TestDeadLeavesASlowEngineAlone(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	path := pathOver(large)
	streamsOn(c, path, 3)
	progress(c, path, start, 250*time.Millisecond, 2*time.Second)
	now := start.Add(6 * time.Second)
	if stage, got := c.DeadStage(now, path, leastSilence); got {
		t.Errorf("got stage %d, want none that was not asked", stage)
	}
	c.ProbeFailed(now, "a-large-1")
	c.Reported(now.Add(50*time.Millisecond), "a-large-1", Report{Slowness: 12})
	if stage, got := c.DeadStage(now.Add(60*time.Millisecond), path, leastSilence); got {
		t.Errorf("got stage %d, want none once the engine has answered", stage)
	}
}

// An engine that does not answer is asked again, and used again as soon as it answers, without a request that tries it.
func TestAnEngineThatIsBackIsUsedAtOnce(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	for i := range 5 {
		c.ProbeFailed(start.Add(time.Duration(i)*reaskDead), "a-large-1")
	}
	last := start.Add(4 * reaskDead)
	if got := c.NextProbes(last.Add(reaskDead/2), 10); len(got) != 0 {
		t.Errorf("got %+v, want none asked at once again", got)
	}
	if got := c.NextProbes(last.Add(reaskDead), 10); len(got) != 1 || got[0].ID != "a-large-1" {
		t.Errorf("got %+v, want the engine that did not answer", got)
	}
	held := &c.load("a-large-1").health
	if !held.suspected(last.Add(reaskDead)) {
		t.Error("got a trusted engine, want it left alone until it answers")
	}
	c.Reported(last.Add(reaskDead), "a-large-1", Report{Slowness: 1})
	if held.suspected(last.Add(reaskDead)) {
		t.Error("got a suspected engine, want it used once it has answered")
	}
}

func TestRerouteReplacesOnePart(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	path := pathOver(large)
	got, ok := c.Reroute(start, path, 2, usual)
	if !ok || !Covers(got, 80) {
		t.Fatalf("got %+v, want a path over all layers", got)
	}
	for _, stage := range got {
		if stage.Server.ID == "a-large-2" {
			t.Errorf("got %+v, want it without a-large-2", got)
		}
	}
	if got[0] != path[0] || got[len(got)-1] != path[3] {
		t.Errorf("got %+v, want the other parts as they were", got)
	}
	if _, ok = c.Reroute(start, path, 0, usual); ok {
		t.Error("got a path without the first engine, want none")
	}
}

// All streams of one engine take twelve times as long; streams elsewhere are as fast as ever.
func TestChooseAvoidsTheSlowEngine(t *testing.T) {
	large, other := engines("a", "large", 4), engines("a", "large", 4)
	for i := range other {
		other[i].ID, other[i].Address = "other-"+other[i].ID, "other-"+other[i].ID
	}
	c := newChooser(append(large, other...), 1)
	slow, fast := pathOver(large), pathOver(append(large[:1:1], other[1:]...))
	streamsOn(c, slow, 1)
	streamsOn(c, fast, 1)
	progress(c, fast, start, 30*time.Millisecond, 2*time.Second)
	progress(c, slow, start, 360*time.Millisecond, 2*time.Second)
	progress(c, fast, start.Add(time.Second), 30*time.Millisecond, time.Second)
	now := start.Add(2100 * time.Millisecond)
	for range 50 {
		path, ok := c.Choose(now, usual)
		if !ok {
			t.Fatal("got no path")
		}
		for _, stage := range path {
			for _, avoided := range large[1:] {
				if stage.Server.ID == avoided.ID {
					t.Fatalf("got a path over %s, want the engines whose streams are fast", avoided.ID)
				}
			}
		}
	}
}

func TestSuspectsAreTriedNowAndThen(t *testing.T) {
	var h health
	h.fail(start)
	h.fail(start.Add(10 * time.Millisecond))
	tests := []struct {
		after time.Duration
		want  bool
	}{{500 * time.Millisecond, true}, {1100 * time.Millisecond, false}}
	for _, test := range tests {
		if got := h.suspected(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: got suspected %v, want %v", test.after, got, test.want)
		}
	}
	trial := start.Add(1100 * time.Millisecond)
	h.started(trial)
	if !h.suspected(trial.Add(100 * time.Millisecond)) {
		t.Error("got a second request at once, want one trial at a time")
	}
	h.progressed(trial.Add(200 * time.Millisecond))
	if h.suspected(trial.Add(200 * time.Millisecond)) {
		t.Error("got suspected after the trial made progress, want trusted")
	}
}
