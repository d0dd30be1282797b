package headroom

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

var start = time.Unix(1_800_000_000, 0)

var testConfig = Config{MaxFill: 0.9, ReserveStep: 0.01, MaxReserve: 0.6, DecayTime: 10 * time.Second}

// request is a request that holds memory until it ends.
type request struct {
	class Class
	ends  time.Time
}

// servedRatios maps "workspace/urgency" to the fraction of the requests that were served.
type servedRatios map[string]float64

// minute is a minute of requests, or less.
type minute struct {
	load    float64       // the memory that the requests need as a multiple of the memory there is
	weights map[Class]int // the requests are in proportion to the weights of their classes
	length  time.Duration // zero means a minute
}

// classes returns each class as often as its weight.
func (m minute) classes() (classes []Class) {
	for _, workspace := range []string{"large", "small0", "small1", "small2", "small3"} {
		for urgency := range 3 {
			class := Class{Workspace: workspace, Urgency: urgency}
			for range m.weights[class] {
				classes = append(classes, class)
			}
		}
	}
	return classes
}

// simulate sends requests for a minute. With useLimiter, the limits are those of a Limiter; without, all requests have the same
// limit.
func simulate(load float64, weights map[Class]int, useLimiter bool) servedRatios {
	var limiter *Limiter
	if useLimiter {
		limiter = New(testConfig)
	}
	return simulateMinute(limiter, start, minute{load: load, weights: weights})
}

// simulateMinute sends the requests of a minute. The limits are those of the limiter; without one, all requests have the same
// limit.
func simulateMinute(limiter *Limiter, begin time.Time, m minute) servedRatios {
	const size, duration = 100, 2 * time.Second
	useLimiter := limiter != nil
	if !useLimiter {
		limiter = New(testConfig)
	}
	random := rand.New(rand.NewPCG(1, 2))
	classes := m.classes()
	var running []request
	sent, served := make(map[string]float64), make(servedRatios)
	interval := time.Duration(float64(duration) / (size * m.load))
	for now := begin; now.Before(begin.Add(cmp.Or(m.length, time.Minute))); now = now.Add(interval) {
		remaining := running[:0]
		for _, req := range running {
			if now.Before(req.ends) {
				remaining = append(remaining, req)
				continue
			}
			limiter.Ended(req.class, 1)
		}
		running = remaining
		class := classes[random.IntN(len(classes))]
		name := fmt.Sprintf("%s/%d", class.Workspace, class.Urgency)
		sent[name]++
		limit := testConfig.MaxFill
		if useLimiter {
			limit = limiter.FillLimit(now, class)
		}
		if float64(len(running)+1) > limit*size {
			limiter.Refused(now, class)
			continue
		}
		limiter.Started(now, class, 1)
		running = append(running, request{class: class, ends: now.Add(duration)})
		served[name]++
	}
	for _, req := range running {
		limiter.Ended(req.class, 1)
	}
	for name := range served {
		served[name] /= sent[name]
	}
	return served
}

// TestBurstOfALargeWorkspace guards against refusing requests of small workspaces because of a large one. The large
// workspace sends twenty times as many requests as each of four small ones, and together they need 1.5 times the
// memory.
func TestBurstOfALargeWorkspace(t *testing.T) {
	weights := map[Class]int{{Workspace: "large", Urgency: 1}: 80}
	for i := range 4 {
		weights[Class{Workspace: fmt.Sprintf("small%d", i), Urgency: 1}] = 4
	}
	uniform, limited := simulate(1.5, weights, false), simulate(1.5, weights, true)
	for i := range 4 {
		name := fmt.Sprintf("small%d/1", i)
		if uniform[name] > 0.8 {
			t.Errorf("%s: got %.2f served without a Limiter, want a load at which some are refused", name, uniform[name])
		}
		if got, want := limited[name], 0.95; got < want {
			t.Errorf("%s: got %.2f served, want at least %.2f", name, got, want)
		}
	}
	if got, want := limited["large/1"], 0.4; got < want {
		t.Errorf("large: got %.2f served, want at least %.2f", got, want)
	}
}

// TestLargeWorkspaceInABurstOfAll guards against refusing nearly all requests of the workspace that always sends the most when all
// workspaces send more, also when the first refusals come soon after the start, and against refusing those of small ones when it alone
// does.
func TestLargeWorkspaceInABurstOfAll(t *testing.T) {
	weightsOf := func(large int) map[Class]int {
		weights := map[Class]int{{Workspace: "large", Urgency: 1}: large}
		for i := range 4 {
			weights[Class{Workspace: fmt.Sprintf("small%d", i), Urgency: 1}] = 4
		}
		return weights
	}
	all, alone := minute{load: 2, weights: weightsOf(16)}, minute{load: 2, weights: weightsOf(84)}
	tests := []struct {
		name                     string
		before                   time.Duration // the time with the usual requests
		burst                    minute
		lowestLarge, lowestSmall float64
	}{
		{"all workspaces", time.Minute, all, 0.35, 0.35},
		{"the large one alone", time.Minute, alone, 0.3, 0.9},
		{"all workspaces, 4 s after the start", 4 * time.Second, all, 0.35, 0.35},
		{"the large one alone, 4 s after the start", 4 * time.Second, alone, 0.3, 0.9},
	}
	for _, test := range tests {
		limiter := New(testConfig)
		simulateMinute(limiter, start, minute{load: 0.5, weights: weightsOf(16), length: test.before})
		got := simulateMinute(limiter, start.Add(test.before), test.burst)
		if got["large/1"] < test.lowestLarge {
			t.Errorf("%s: got %.2f of the large workspace's requests served, want at least %.2f", test.name, got["large/1"], test.lowestLarge)
		}
		for i := range 4 {
			name := fmt.Sprintf("small%d/1", i)
			if got[name] < test.lowestSmall {
				t.Errorf("%s: got %.2f of the requests of %s served, want at least %.2f", test.name, got[name], name, test.lowestSmall)
			}
		}
	}
}

// TestUrgentRequestsUnderOverload guards against refusing urgent requests, and against refusing nearly all others. Two
// of three requests are not urgent, and the requests need twice the memory.
func TestUrgentRequestsUnderOverload(t *testing.T) {
	limited := simulate(2, map[Class]int{{Workspace: "small0", Urgency: 0}: 10, {Workspace: "small1", Urgency: 2}: 20}, true)
	if got, want := limited["small0/0"], 0.95; got < want {
		t.Errorf("urgent: got %.2f served, want at least %.2f", got, want)
	}
	// At twice the load, urgent requests need 2/3 of the memory and the others 4/3. The others get at least half of the
	// memory that is left.
	if got, want := limited["small1/2"], (testConfig.MaxFill-2.0/3)/(4.0/3)/2; got < want {
		t.Errorf("others: got %.2f served, want at least %.2f", got, want)
	}
}

// TestReserveOnlyAfterRefusal guards against limits that are lower before any refusal or for the class of the refused
// request, and against reserves that do not decay or are not bounded.
func TestReserveOnlyAfterRefusal(t *testing.T) {
	limiter := New(testConfig)
	large, small := Class{Workspace: "large", Urgency: 2}, Class{Workspace: "small"}
	limiter.Started(start, large, 100)
	limiter.Started(start, small, 1)
	if got := limiter.FillLimit(start, large); got != testConfig.MaxFill {
		t.Errorf("got limit %v, want %v before a refusal", got, testConfig.MaxFill)
	}
	limiter.Refused(start, small)
	tests := []struct {
		name    string
		after   time.Duration
		class   Class
		lowest  float64
		highest float64
	}{
		{"a large workspace, at once", 0, large, testConfig.MaxFill - testConfig.ReserveStep, testConfig.MaxFill - testConfig.ReserveStep},
		{"the small one", 0, small, testConfig.MaxFill, testConfig.MaxFill},
		{"a less urgent request", 0, Class{Workspace: "small", Urgency: 1}, testConfig.MaxFill - testConfig.ReserveStep, testConfig.MaxFill - testConfig.ReserveStep},
		{"a large workspace, later", testConfig.DecayTime, large, testConfig.MaxFill - testConfig.ReserveStep/2, testConfig.MaxFill - testConfig.ReserveStep/4},
	}
	for _, test := range tests {
		if got := limiter.FillLimit(start.Add(test.after), test.class); got < test.lowest || got > test.highest {
			t.Errorf("%s: got %v, want %v to %v", test.name, got, test.lowest, test.highest)
		}
	}
	for range 1000 {
		limiter.Refused(start, small)
	}
	if got, want := limiter.FillLimit(start, large), testConfig.MaxFill-testConfig.MaxReserve; got != want {
		t.Errorf("got limit %v after many refusals, want %v", got, want)
	}
}

// TestEndedRemovesWorkspace guards against state that grows with every workspace that ever sent a request.
func TestEndedRemovesWorkspace(t *testing.T) {
	limiter := New(testConfig)
	for i := range 1000 {
		class := Class{Workspace: fmt.Sprint(i)}
		limiter.Started(start, class, 10)
		limiter.Ended(class, 10)
	}
	if len(limiter.held) != 0 || limiter.total != 0 {
		t.Errorf("got %d workspaces that hold %v tokens, want none", len(limiter.held), limiter.total)
	}
}
