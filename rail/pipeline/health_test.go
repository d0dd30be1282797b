package pipeline

import (
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// startRequests starts count requests on the chain.
func startRequests(c *Chooser, chain Chain, count int) {
	for range count {
		c.Started(start, chain, usualRequest)
	}
}

// chainOver returns the chain of the servers in which each runs all layers that it holds.
func chainOver(servers []backend.Server) (chain Chain) {
	for _, server := range servers {
		chain = append(chain, Stage{Server: server, Layers: server.Layers})
	}
	return chain
}

// recordProgress records progress on the chain at every interval for the duration.
func recordProgress(c *Chooser, chain Chain, from time.Time, interval, duration time.Duration) {
	for at := time.Duration(0); at <= duration; at += interval {
		c.Progressed(from.Add(at), chain, interval)
	}
}

// testMinSilence is the time without progress after which a stage counts as silent.
const testMinSilence = 90 * time.Millisecond

// TestSilentAndDeadStages guards against reporting the neighbors of an engine that stops while other chains over these
// neighbors continue. The progress of any request through an engine counts, so only the stopped engine's stage is
// silent, and after a failed probe it is dead at once.
func TestSilentAndDeadStages(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	through, around := chainOver(large), chainOver(append(append(large[:2:2], small[4:6]...), large[3]))
	startRequests(c, through, 1)
	recordProgress(c, through, start, 30*time.Millisecond, time.Second)
	recordProgress(c, around, start, 30*time.Millisecond, 2*time.Second)
	died := start.Add(time.Second)
	tests := []struct {
		after time.Duration
		want  []int
	}{{50 * time.Millisecond, nil}, {120 * time.Millisecond, []int{2}}}
	for _, test := range tests {
		if got := c.SilentStages(died.Add(test.after), through, testMinSilence); !slices.Equal(got, test.want) {
			t.Errorf("after %v: got stages %v, want %v", test.after, got, test.want)
		}
	}
	now := died.Add(120 * time.Millisecond)
	if stage, got := c.DeadStage(now, through, testMinSilence); got {
		t.Errorf("got stage %d, want none before a probe failed", stage)
	}
	c.ProbeFailed(now, "a-large-2")
	if stage, got := c.DeadStage(now, through, testMinSilence); !got || stage != 2 {
		t.Errorf("got stage %d, %v, want 2", stage, got)
	}
}

// TestDeadStageIgnoresSlowEngine guards against treating an engine as dead that is twelve times slower and has sent no
// event for four seconds but responds to probes.
func TestDeadStageIgnoresSlowEngine(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	chain := chainOver(large)
	startRequests(c, chain, 3)
	recordProgress(c, chain, start, 250*time.Millisecond, 2*time.Second)
	now := start.Add(6 * time.Second)
	if stage, got := c.DeadStage(now, chain, testMinSilence); got {
		t.Errorf("got stage %d, want none before a probe failed", stage)
	}
	c.ProbeFailed(now, "a-large-1")
	c.ProbeSucceeded(now.Add(50*time.Millisecond), "a-large-1", ProbeResponse{Slowness: 12})
	if stage, got := c.DeadStage(now.Add(60*time.Millisecond), chain, testMinSilence); got {
		t.Errorf("got stage %d, want none once the engine responded to a probe", stage)
	}
}

// TestRecoveredEngineIsUsedAtOnce guards against waiting for a trial request, or for the end of the suspicion, before
// an engine is used that has responded to a probe after failed ones.
func TestRecoveredEngineIsUsedAtOnce(t *testing.T) {
	large := engines("a", "large", 4)
	c := newChooser(large, 1)
	for i := range 5 {
		c.ProbeFailed(start.Add(time.Duration(i)*failedProbeInterval), "a-large-1")
	}
	last := start.Add(4 * failedProbeInterval)
	if got := c.NextProbes(last.Add(failedProbeInterval/2), 10); len(got) != 0 {
		t.Errorf("got %+v, want no probe before failedProbeInterval has passed", got)
	}
	if got := c.NextProbes(last.Add(failedProbeInterval), 10); len(got) != 1 || got[0].ID != "a-large-1" {
		t.Errorf("got %+v, want the engine whose probe failed", got)
	}
	state := &c.state("a-large-1").health
	if !state.isSuspected(last.Add(failedProbeInterval)) {
		t.Error("got an engine that is not suspected, want it suspected until it responds")
	}
	c.ProbeSucceeded(last.Add(failedProbeInterval), "a-large-1", ProbeResponse{Slowness: 1})
	if state.isSuspected(last.Add(failedProbeInterval)) {
		t.Error("got a suspected engine, want it used once it has responded")
	}
}

// TestRerouteReplacesOneStage guards against a chain that keeps the replaced engine, changes other stages or lacks
// layers.
func TestRerouteReplacesOneStage(t *testing.T) {
	large, small := engines("a", "large", 4), engines("a", "small", 8)
	c := newChooser(append(large, small...), 1)
	chain := chainOver(large)
	got, ok := c.Reroute(start, chain, 2, usualRequest)
	if !ok || !Covers(got, 80) {
		t.Fatalf("got %+v, want a chain over all layers", got)
	}
	for _, stage := range got {
		if stage.Server.ID == "a-large-2" {
			t.Errorf("got %+v, want it without a-large-2", got)
		}
	}
	if got[0] != chain[0] || got[len(got)-1] != chain[3] {
		t.Errorf("got %+v, want the other stages unchanged", got)
	}
	if _, ok = c.Reroute(start, chain, 0, usualRequest); ok {
		t.Error("got a chain without the first engine, want none")
	}
}

// TestChooseAvoidsSlowEngines guards against choosing engines through which the events of every request take twelve
// times as long, while other requests keep their speed.
func TestChooseAvoidsSlowEngines(t *testing.T) {
	large, other := engines("a", "large", 4), engines("a", "large", 4)
	for i := range other {
		other[i].ID, other[i].Address = "other-"+other[i].ID, "other-"+other[i].ID
	}
	c := newChooser(append(large, other...), 1)
	slow, fast := chainOver(large), chainOver(append(large[:1:1], other[1:]...))
	startRequests(c, slow, 1)
	startRequests(c, fast, 1)
	recordProgress(c, fast, start, 30*time.Millisecond, 2*time.Second)
	recordProgress(c, slow, start, 360*time.Millisecond, 2*time.Second)
	recordProgress(c, fast, start.Add(time.Second), 30*time.Millisecond, time.Second)
	now := start.Add(2100 * time.Millisecond)
	for range 50 {
		chain, ok := c.Choose(now, usualRequest)
		if !ok {
			t.Fatal("got no chain")
		}
		for _, stage := range chain {
			for _, avoided := range large[1:] {
				if stage.Server.ID == avoided.ID {
					t.Fatalf("got a chain over %s, want the engines whose requests are fast", avoided.ID)
				}
			}
		}
	}
}

// TestSuspectedEngineGetsOneTrialAtATime guards against sending all requests to an engine at the end of its suspicion,
// and against a suspicion that progress does not end.
func TestSuspectedEngineGetsOneTrialAtATime(t *testing.T) {
	var state health
	state.recordFailure(start)
	state.recordFailure(start.Add(10 * time.Millisecond))
	tests := []struct {
		after time.Duration
		want  bool
	}{{500 * time.Millisecond, true}, {1100 * time.Millisecond, false}}
	for _, test := range tests {
		if got := state.isSuspected(start.Add(test.after)); got != test.want {
			t.Errorf("after %v: got suspected %v, want %v", test.after, got, test.want)
		}
	}
	trial := start.Add(1100 * time.Millisecond)
	state.recordStart(trial)
	if !state.isSuspected(trial.Add(100 * time.Millisecond)) {
		t.Error("got an engine that is not suspected during a trial, want one request at a time")
	}
	state.recordProgress(trial.Add(200 * time.Millisecond))
	if state.isSuspected(trial.Add(200 * time.Millisecond)) {
		t.Error("got a suspected engine after the trial made progress, want one that is not suspected")
	}
}

// Guards against an engine that counts as lost before a probe of it has failed, after it has responded to one, or for ever.
func TestEngineIsLostAfterFailedProbe(t *testing.T) {
	c := newChooser(engines("a", "large", 4), 1)
	const id = "a-large-1"
	if c.IsLost(start, id) || c.IsLost(start, "unknown") {
		t.Error("got a lost engine before a probe")
	}
	c.ProbeFailed(start, id)
	if !c.IsLost(start.Add(lostDuration-time.Millisecond), id) || c.IsLost(start.Add(lostDuration), id) {
		t.Errorf("got an engine that is not lost for %v after a failed probe", lostDuration)
	}
	c.ProbeSucceeded(start.Add(time.Second), id, ProbeResponse{Slowness: 1})
	if c.IsLost(start.Add(time.Second), id) {
		t.Error("got a lost engine after it has responded")
	}
}
