package pipeline

import (
	"testing"
	"time"
)

// slowOne lets requests through all engines be slow; those around one engine are fast.
func slowOne(c *Chooser, through, around Path, now time.Time) {
	usual := c.ExpectedGap(now, around)
	for i := range 40 {
		c.Progressed(now.Add(time.Duration(i)*time.Millisecond), around, usual)
	}
	for i := range enoughDoubts {
		at := now.Add(time.Duration(50+i) * time.Millisecond)
		c.Progressed(at, around, usual)
		c.Progressed(at, through, 6*usual)
	}
}

// Only the engine through which every event is slow is asked; those that also carry fast requests are not.
func TestDoubtfulIsTheEngineWithoutFastEvents(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	through := pathOver(large)
	around := pathOver(append(append(large[:2:2], small[4:6]...), large[3]))
	slowOne(c, through, around, start)
	now := start.Add(55 * time.Millisecond)
	// The last fast event came before the last slow one: one more clears the others.
	c.Progressed(now, around, c.ExpectedGap(now, around))
	got := c.NextProbes(now, 10)
	if len(got) != 1 || got[0].ID != "a-large-2" {
		t.Fatalf("got %+v, want the engine that no fast event passed", got)
	}
	if again := c.NextProbes(now.Add(100*time.Millisecond), 10); len(again) != 0 {
		t.Errorf("got %+v at once again, want none while the answer is awaited", again)
	}
}

func TestDoubtfulAsksASlowEngineAgain(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	c.Reported(start, "a-large-1", Report{Slowness: 12})
	c.Reported(start, "a-large-2", Report{Slowness: 1})
	tests := []struct {
		after time.Duration
		want  int
	}{{300 * time.Millisecond, 0}, {reaskSlow, 1}}
	for _, test := range tests {
		if got := c.NextProbes(start.Add(test.after), 10); len(got) != test.want {
			t.Errorf("after %v: got %+v, want %d engines", test.after, got, test.want)
		}
	}
}

// A third of the engines turn twelve times slower at once, under a load that the others carry: once they have said so,
// hardly any work goes to them, although their share of the work was small.
func TestSlowThirdOfThePool(t *testing.T) {
	first, second, third := engines("a", "large", 4), engines("b", "large", 4), engines("c", "large", 4)
	c := newChooser(append(append(first, second...), third...), 1)
	for _, server := range third {
		c.Reported(start, server.ID, Report{Slowness: 12})
	}
	slow, all := 0, 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 4 * time.Millisecond)
		path, ok := c.Choose(now, usual)
		if !ok {
			t.Fatal("got no path, want one over the sound engines")
		}
		c.Started(now, path, usual)
		c.Ended(path, usual)
		for _, stage := range path {
			all += stage.Layers.Len()
			if stage.Server.Zone == "c" {
				slow += stage.Layers.Len()
			}
		}
	}
	if got := float64(slow) / float64(all); got > 0.05 {
		t.Errorf("slow engines run %.2f of the layers, want 0.05 at most", got)
	}
}

func TestReportsOfOtherInstancesCount(t *testing.T) {
	large := engines("a", "large", 4)
	c := New(Config{PeerUsage: func(id string) (Usage, bool) {
		if id == "a-large-0" {
			return Usage{Slowness: 4}, true
		}
		return Usage{}, true
	}})
	c.SetFleet(testEngine(), large, 2)
	tests := []struct {
		id   string
		want float64
	}{{"a-large-0", 4}, {"a-large-1", 1}}
	for _, test := range tests {
		if got := c.slowness(start, test.id); got != test.want {
			t.Errorf("%s: got slowness %v, want %v", test.id, got, test.want)
		}
	}
	c.Reported(start, "a-large-0", Report{Slowness: 1})
	if got := c.slowness(start, "a-large-0"); got != 1 {
		t.Errorf("got slowness %v after an own report, want that of the report, 1", got)
	}
}
