package admit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestExcessUseBounded guards against starvation of a workspace that used most slots for a long time: when another one
// then requests all slots, the earlier use counts only up to maxExcessSeconds.
func TestExcessUseBounded(t *testing.T) {
	const limit = 8
	controller := New(Config{MaxQueued: 64, MaxRunning: limit, Random: rand.New(rand.NewSource(1))})
	now := epoch
	submit := func(workspace string, count int) {
		for i := range count {
			controller.Submit(now, Request{
				ID: fmt.Sprintf("%s%d/%d", workspace, now.UnixNano(), i), Workspace: workspace, Deadline: now.Add(time.Hour),
			})
		}
	}
	submit("large", limit-1)
	submit("small", 1)
	for range 1000 {
		now = now.Add(time.Second)
		controller.Tick(now)
	}
	submit("large", 30)
	submit("small", 30)
	finished := map[string]int{}
	for range int(4 * maxExcessSeconds) {
		for id, request := range controller.running {
			finished[request.workspace.name]++
			controller.Finish(now, id, true)
			break
		}
		now = now.Add(time.Second / limit)
		submit("small", 1)
	}
	if got, want := controller.workspaces.byName["large"].slotSeconds-controller.workspaces.minSlotSeconds, maxExcessSeconds+float64(limit); got > want {
		t.Errorf("excess use of the large workspace: got %.1f, want at most %.1f", got, want)
	}
	if got, want := finished["large"], limit; got < want {
		t.Errorf("requests of the large workspace that ended: got %d, want at least %d", got, want)
	}
}

// TestFullQueueDisplacesRequest guards against refusing a request while another workspace fills the queue. Request 0 runs
// and requests 1 to 20 wait; the newest of these is displaced.
func TestFullQueueDisplacesRequest(t *testing.T) {
	controller := New(Config{MaxQueued: 20, MaxRunning: 1, Random: rand.New(rand.NewSource(1))})
	for i := range 30 {
		controller.Submit(epoch, Request{ID: fmt.Sprint(i), Workspace: "large", Deadline: epoch.Add(time.Hour)})
	}
	decisions := controller.Submit(epoch, Request{ID: "one", Workspace: "small", Deadline: epoch.Add(time.Hour)})
	want := []Decision{{ID: "20", Verdict: Full}}
	if len(decisions) != 1 || decisions[0].ID != want[0].ID || decisions[0].Verdict != want[0].Verdict {
		t.Errorf("decisions: got %v, want %v", decisions, want)
	}
}

// TestInstanceLimit guards against limits with which all instances together add more requests than there are unused
// slots, or do not back off when more slots are used than exist.
func TestInstanceLimit(t *testing.T) {
	cases := []struct {
		name     string
		capacity Capacity
		own      int
		want     int
	}{
		{name: "no reports", want: 1},
		{name: "equal share", capacity: Capacity{Slots: 90, Used: 90, Instances: 9}, want: 10},
		{name: "share of the unused slots", capacity: Capacity{Slots: 90, Used: 45, Instances: 9}, own: 40, want: 45},
		{name: "overcommitted", capacity: Capacity{Slots: 60, Used: 90, Instances: 9}, own: 12, want: 8},
		{name: "overcommitted, own below equal share", capacity: Capacity{Slots: 60, Used: 90, Instances: 9}, own: 3, want: 7},
		{name: "one instance", capacity: Capacity{Slots: 90, Used: 45, Instances: 1}, own: 45, want: 90},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.capacity.InstanceLimit(c.own); got != c.want {
				t.Errorf("instance limit: got %d, want %d", got, c.want)
			}
		})
	}
}

func BenchmarkSubmitFinish(b *testing.B) {
	controller := New(Config{MaxQueued: 512, MaxRunning: 64, Random: rand.New(rand.NewSource(1))})
	for i := range 400 {
		controller.Submit(epoch, Request{ID: fmt.Sprint("old", i), Workspace: fmt.Sprint(i % 100), Deadline: epoch.Add(time.Hour)})
	}
	running := make([]string, 0, 64)
	for id := range controller.running {
		running = append(running, id)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		decisions := controller.Submit(now, Request{ID: id, Workspace: fmt.Sprint(i % 100), Deadline: now.Add(time.Hour)})
		decisions = append(decisions, controller.Finish(now, running[0], true)...)
		running = running[1:]
		for _, decision := range decisions {
			if decision.Verdict == Granted {
				running = append(running, decision.ID)
			}
		}
	}
}
