package pipeline

import (
	"testing"
	"time"
)

// recordSlowChain records slow events on one chain and fast events on the other, which avoids one engine of the slow
// chain.
func recordSlowChain(c *Chooser, slow, fast Chain, now time.Time) {
	gap := c.ExpectedGap(now, fast)
	for i := range 40 {
		c.Progressed(now.Add(time.Duration(i)*time.Millisecond), fast, gap)
	}
	for i := range slowEventsBeforeProbe {
		at := now.Add(time.Duration(50+i) * time.Millisecond)
		c.Progressed(at, fast, gap)
		c.Progressed(at, slow, 6*gap)
	}
}

// TestNextProbesSkipsEnginesWithFastEvents guards against probing engines that also have fast events: only the engine
// whose events are all slow is probed.
func TestNextProbesSkipsEnginesWithFastEvents(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	slow := chainOver(large)
	fast := chainOver(append(append(large[:2:2], small[4:6]...), large[3]))
	recordSlowChain(c, slow, fast, start)
	now := start.Add(55 * time.Millisecond)
	// The last fast event came before the last slow one, so another fast event resets the count of the other engines.
	c.Progressed(now, fast, c.ExpectedGap(now, fast))
	got := c.NextProbes(now, 10)
	if len(got) != 1 || got[0].ID != "a-large-2" {
		t.Fatalf("got %+v, want the engine without fast events", got)
	}
	if again := c.NextProbes(now.Add(100*time.Millisecond), 10); len(again) != 0 {
		t.Errorf("got %+v again, want no probe while the response is pending", again)
	}
}

// TestNextProbesRepeatsForSlowEngine guards against keeping a reported slowness that has ended, and against probing
// engines that reported the usual speed.
func TestNextProbesRepeatsForSlowEngine(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	c.ProbeSucceeded(start, "a-large-1", ProbeResponse{Slowness: 12})
	c.ProbeSucceeded(start, "a-large-2", ProbeResponse{Slowness: 1})
	tests := []struct {
		after time.Duration
		want  int
	}{{300 * time.Millisecond, 0}, {slowProbeInterval, 1}}
	for _, test := range tests {
		if got := c.NextProbes(start.Add(test.after), 10); len(got) != test.want {
			t.Errorf("after %v: got %+v, want %d engines", test.after, got, test.want)
		}
	}
}

// TestSlowThirdOfEngines guards against sending slow engines more than a small part of the work after they have
// reported their slowness, even though their utilization is low. A third of the engines become twelve times slower at
// once, under a load that the others can carry.
func TestSlowThirdOfEngines(t *testing.T) {
	first, second, third := engines("a", "large", 4), engines("b", "large", 4), engines("c", "large", 4)
	c := newChooser(append(append(first, second...), third...), 1)
	for _, server := range third {
		c.ProbeSucceeded(start, server.ID, ProbeResponse{Slowness: 12})
	}
	slow, all := 0, 0
	for i := range 400 {
		now := start.Add(time.Duration(i) * 4 * time.Millisecond)
		chain, ok := c.Choose(now, usualRequest)
		if !ok {
			t.Fatal("got no chain, want one over the engines that are not slow")
		}
		c.Started(now, chain, usualRequest)
		c.Ended(chain, usualRequest)
		for _, stage := range chain {
			all += stage.Layers.Len()
			if stage.Server.Zone == "c" {
				slow += stage.Layers.Len()
			}
		}
	}
	if got := float64(slow) / float64(all); got > 0.05 {
		t.Errorf("slow engines run %.2f of the layers, want at most 0.05", got)
	}
}

// TestReportsOfOtherInstancesCount guards against ignoring what an engine reported to another instance, and against
// preferring it to a report to this one.
func TestReportsOfOtherInstancesCount(t *testing.T) {
	large := engines("a", "large", 4)
	c := New(Config{PeerUsage: func(id string) (Usage, bool) {
		if id == "a-large-0" {
			return Usage{Slowness: 4}, true
		}
		return Usage{}, true
	}})
	c.SetEngines(testSpec(), large, 2)
	tests := []struct {
		id   string
		want float64
	}{{"a-large-0", 4}, {"a-large-1", 1}}
	for _, test := range tests {
		if got := c.slowness(start, test.id); got != test.want {
			t.Errorf("%s: got slowness %v, want %v", test.id, got, test.want)
		}
	}
	c.ProbeSucceeded(start, "a-large-0", ProbeResponse{Slowness: 1})
	if got := c.slowness(start, "a-large-0"); got != 1 {
		t.Errorf("got slowness %v, want 1 as reported to this instance", got)
	}
}
