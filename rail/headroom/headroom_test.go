package headroom

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

var usual = Config{MaxFill: 0.9, ReserveStep: 0.01, MaxReserve: 0.6, DecayTime: 10 * time.Second}

// request is one that holds memory until it ends.
type request struct {
	holder Class
	ends   time.Time
}

// played is the part of the requests of each holder that were served.
type played map[string]float64

// play offers requests by the weight of their holders for a minute, at a load of so many times the memory, with the limits of
// a Ledger or, without, alike for all.
func play(load float64, weights map[Class]int, limited bool) played {
	const size, length = 100, 2 * time.Second
	random := rand.New(rand.NewPCG(1, 2))
	ledger := New(usual)
	var drawn []Class
	for _, workspace := range []string{"large", "small0", "small1", "small2", "small3"} {
		for priority := range 3 {
			holder := Class{Workspace: workspace, Priority: priority}
			for range weights[holder] {
				drawn = append(drawn, holder)
			}
		}
	}
	var running []request
	asked, served := make(map[string]float64), make(played)
	pause := time.Duration(float64(length) / (size * load))
	for now := start; now.Before(start.Add(time.Minute)); now = now.Add(pause) {
		rest := running[:0]
		for _, one := range running {
			if now.Before(one.ends) {
				rest = append(rest, one)
				continue
			}
			ledger.Ended(one.holder, 1)
		}
		running = rest
		holder := drawn[random.IntN(len(drawn))]
		name := fmt.Sprintf("%s/%d", holder.Workspace, holder.Priority)
		asked[name]++
		limit := usual.MaxFill
		if limited {
			limit = ledger.Limit(now, holder)
		}
		if float64(len(running)+1) > limit*size {
			ledger.Refused(now, holder)
			continue
		}
		ledger.Started(holder, 1)
		running = append(running, request{holder: holder, ends: now.Add(length)})
		served[name]++
	}
	for name := range served {
		served[name] /= asked[name]
	}
	return served
}

// A large workspace asks for twenty times as much as each of four small ones, half as much again as there is memory.
func TestBurstOfALargeWorkspace(t *testing.T) {
	weights := map[Class]int{{Workspace: "large", Priority: 1}: 80}
	for i := range 4 {
		weights[Class{Workspace: fmt.Sprintf("small%d", i), Priority: 1}] = 4
	}
	alike, kept := play(1.5, weights, false), play(1.5, weights, true)
	for i := range 4 {
		name := fmt.Sprintf("small%d/1", i)
		if alike[name] > 0.8 {
			t.Errorf("%s: %.2f served without limits, want a load that refuses some", name, alike[name])
		}
		if got, want := kept[name], 0.95; got < want {
			t.Errorf("%s: got %.2f served, want %.2f at least", name, got, want)
		}
	}
	if got, want := kept["large/1"], 0.4; got < want {
		t.Errorf("large: got %.2f served, want %.2f at least", got, want)
	}
}

// Two of three requests are not urgent, twice as much is asked for as there is memory.
func TestUrgentRequestsUnderOverload(t *testing.T) {
	kept := play(2, map[Class]int{{Workspace: "small0", Priority: 0}: 10, {Workspace: "small1", Priority: 2}: 20}, true)
	if got, want := kept["small0/0"], 0.95; got < want {
		t.Errorf("urgent: got %.2f served, want %.2f at least", got, want)
	}
	// Urgent requests take 2/3 of the memory at twice the load, 4/3 are not urgent: half of what is left goes to them at least.
	if got, want := kept["small1/2"], (usual.MaxFill-2.0/3)/(4.0/3)/2; got < want {
		t.Errorf("others: got %.2f served, want %.2f at least", got, want)
	}
}

// While nobody is refused, nothing is kept.
func TestNothingIsKeptWithoutNeed(t *testing.T) {
	ledger := New(usual)
	large, small := Class{Workspace: "large", Priority: 2}, Class{Workspace: "small"}
	ledger.Started(large, 100)
	ledger.Started(small, 1)
	if got := ledger.Limit(start, large); got != usual.MaxFill {
		t.Errorf("got limit %v, want %v before a refusal", got, usual.MaxFill)
	}
	ledger.Refused(start, small)
	tests := []struct {
		name   string
		after  time.Duration
		holder Class
		least  float64
		most   float64
	}{
		{"a large workspace, at once", 0, large, usual.MaxFill - usual.ReserveStep, usual.MaxFill - usual.ReserveStep},
		{"the small one", 0, small, usual.MaxFill, usual.MaxFill},
		{"a less urgent request", 0, Class{Workspace: "small", Priority: 1}, usual.MaxFill - usual.ReserveStep, usual.MaxFill - usual.ReserveStep},
		{"a large workspace, later", usual.DecayTime, large, usual.MaxFill - usual.ReserveStep/2, usual.MaxFill - usual.ReserveStep/4},
	}
	for _, test := range tests {
		if got := ledger.Limit(start.Add(test.after), test.holder); got < test.least || got > test.most {
			t.Errorf("%s: got %v, want %v to %v", test.name, got, test.least, test.most)
		}
	}
	for range 1000 {
		ledger.Refused(start, small)
	}
	if got, want := ledger.Limit(start, large), usual.MaxFill-usual.MaxReserve; got != want {
		t.Errorf("got limit %v after many refusals, want %v", got, want)
	}
}

func TestEndedForgetsAWorkspace(t *testing.T) {
	ledger := New(usual)
	for i := range 1000 {
		holder := Class{Workspace: fmt.Sprint(i)}
		ledger.Started(holder, 10)
		ledger.Ended(holder, 10)
	}
	if len(ledger.held) != 0 || ledger.total != 0 {
		t.Errorf("got %d workspaces that hold %v, want none", len(ledger.held), ledger.total)
	}
}
