package admit

import (
	"fmt"
	"math/rand"
	"testing"
	"time"
)

// TestPastUseIsBounded lets one workspace use most slots for a long time, and then another one ask for all of them.
func TestPastUseIsBounded(t *testing.T) {
	const limit = 8
	gate := New(Config{MaxQueued: 64, MaxRunning: limit, Random: rand.New(rand.NewSource(1))})
	now := epoch
	offer := func(space string, count int) {
		for i := range count {
			gate.Offer(now, Request{ID: fmt.Sprintf("%s%d/%d", space, now.UnixNano(), i), Workspace: space, Deadline: now.Add(time.Hour)})
		}
	}
	offer("large", limit-1)
	offer("small", 1)
	for range 1000 {
		now = now.Add(time.Second)
		gate.Tick(now)
	}
	offer("large", 30)
	offer("small", 30)
	turns := map[string]int{}
	for range int(4 * maxDebt) {
		for id, held := range gate.running {
			turns[held.space.name]++
			gate.Finish(now, id, true)
			break
		}
		now = now.Add(time.Second / limit)
		offer("small", 1)
	}
	if got, want := gate.ledger.spaces["large"].used-gate.ledger.floor, maxDebt+float64(limit); got > want {
		t.Errorf("use held against the large workspace: got %.1f, want at most %.1f", got, want)
	}
	if got, want := turns["large"], limit; got < want {
		t.Errorf("requests of the large workspace that ended: got %d, want at least %d", got, want)
	}
}

func TestLargeWorkspaceCannotFillTheQueue(t *testing.T) {
	gate := New(Config{MaxQueued: 20, MaxRunning: 1, Random: rand.New(rand.NewSource(1))})
	for i := range 30 {
		gate.Offer(epoch, Request{ID: fmt.Sprint(i), Workspace: "large", Deadline: epoch.Add(time.Hour)})
	}
	actions := gate.Offer(epoch, Request{ID: "one", Workspace: "small", Deadline: epoch.Add(time.Hour)})
	want := []Action{{ID: "20", Verdict: Full}}
	if len(actions) != 1 || actions[0].ID != want[0].ID || actions[0].Verdict != want[0].Verdict {
		t.Errorf("actions: got %v, want %v", actions, want)
	}
}

func TestShare(t *testing.T) {
	cases := []struct {
		name     string
		capacity Capacity
		own      int
		want     int
	}{
		{name: "nothing known", want: 1},
		{name: "equal part", capacity: Capacity{Slots: 90, Used: 90, Instances: 9}, want: 10},
		{name: "part of the unused slots", capacity: Capacity{Slots: 90, Used: 45, Instances: 9}, own: 40, want: 45},
		{name: "more used than there are", capacity: Capacity{Slots: 60, Used: 90, Instances: 9}, own: 12, want: 8},
		{name: "more used, own below its part", capacity: Capacity{Slots: 60, Used: 90, Instances: 9}, own: 3, want: 7},
		{name: "alone", capacity: Capacity{Slots: 90, Used: 45, Instances: 1}, own: 45, want: 90},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if got := c.capacity.Share(c.own); got != c.want {
				t.Errorf("share: got %d, want %d", got, c.want)
			}
		})
	}
}

func BenchmarkOfferFinish(b *testing.B) {
	gate := New(Config{MaxQueued: 512, MaxRunning: 64, Random: rand.New(rand.NewSource(1))})
	for i := range 400 {
		gate.Offer(epoch, Request{ID: fmt.Sprint("old", i), Workspace: fmt.Sprint(i % 100), Deadline: epoch.Add(time.Hour)})
	}
	running := make([]string, 0, 64)
	for id := range gate.running {
		running = append(running, id)
	}
	now := epoch
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		id := fmt.Sprint(i)
		actions := gate.Offer(now, Request{ID: id, Workspace: fmt.Sprint(i % 100), Deadline: now.Add(time.Hour)})
		actions = append(actions, gate.Finish(now, running[0], true)...)
		running = running[1:]
		for _, action := range actions {
			if action.Verdict == Granted {
				running = append(running, action.ID)
			}
		}
	}
}
