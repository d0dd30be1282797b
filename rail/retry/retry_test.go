package retry

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

var epoch = time.Unix(1_000_000, 0)

func TestProveRetry(t *testing.T) {
	proptest.Run(t, "retry", func(rt *rapid.T, tally *proptest.Tally) {
		config := BudgetConfig{
			Ratio: rapid.Float64Range(0.01, 0.5).Draw(rt, "share"), PerSecond: rapid.Float64Range(0.01, 5).Draw(rt, "floor"),
			Burst: rapid.Float64Range(1, 20).Draw(rt, "burst"),
		}
		budget := NewBudget(epoch, config)
		now, latest := epoch, epoch
		successes, retries := 0, 0
		for range rapid.IntRange(1, 60).Draw(rt, "steps") {
			tally.Operations++
			switch rapid.IntRange(0, 5).Draw(rt, "step") {
			case 0, 1:
				count := rapid.IntRange(1, 30).Draw(rt, "successes")
				successes += count
				for range count {
					budget.Succeeded()
				}
			case 2:
				now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(rt, "pause")) * time.Millisecond)
			case 3:
				tally.CountFault("clockback")
				now = now.Add(-time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "back")) * time.Millisecond)
			default:
				tally.CountFault("brownout")
				before := retries
				for range rapid.IntRange(1, 100).Draw(rt, "failures") {
					if budget.Allow(now) {
						retries++
					}
				}
				if got := float64(retries - before); got > config.Burst {
					tally.Failf(rt, "retries at once: got %v, want at most %v", got, config.Burst)
				}
			}
			latest = maxTime(latest, now)
			bound := config.Ratio*float64(successes) + config.PerSecond*latest.Sub(epoch).Seconds() + config.Burst
			if got := float64(retries); got > bound+1e-6 {
				tally.Failf(rt, "retries: got %v, want at most %v", got, bound)
			}
		}
		now = maxTime(now, latest).Add(time.Duration(2 / config.PerSecond * float64(time.Second)))
		if !budget.Allow(now) {
			tally.Failf(rt, "no retry is allowed although the floor has earned two")
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// shadow is what a proof knows of one server.
type shadow struct {
	handles   []Handle
	probes    []time.Time
	sickUntil time.Time
}

// start remembers a request that was sent, and when if it is a probe.
func (s *shadow) start(now time.Time, handle Handle, probe bool) {
	s.handles = append(s.handles, handle)
	began := time.Time{}
	if probe {
		began = now
	}
	s.probes = append(s.probes, began)
}

// end forgets a request and returns its handle.
func (s *shadow) end(i int) Handle {
	handle := s.handles[i]
	s.handles = append(s.handles[:i], s.handles[i+1:]...)
	s.probes = append(s.probes[:i], s.probes[i+1:]...)
	return handle
}

// recent returns the number of probes in progress that have not timed out.
func (s *shadow) recent(now time.Time) (count int) {
	for _, began := range s.probes {
		if !began.IsZero() && now.Sub(began) < probeTimeout {
			count++
		}
	}
	return count
}

func TestProveBreakers(t *testing.T) {
	proptest.Run(t, "breakers", func(rt *rapid.T, tally *proptest.Tally) {
		breakers := NewBreakers(BreakersConfig{Random: rand.New(rand.NewSource(rapid.Int64().Draw(rt, "source")))})
		size := rapid.IntRange(1, 4).Draw(rt, "servers")
		names, shadows := make([]string, size), make([]shadow, size)
		for i := range size {
			names[i] = fmt.Sprintf("s%d", i)
		}
		breakers.SetServers(names)
		now := epoch
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			tally.Operations++
			i := rapid.IntRange(0, size-1).Draw(rt, "server")
			open := breakers.servers[names[i]] != nil && breakers.servers[names[i]].open()
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				tally.CountFault("sick")
				shadows[i].sickUntil = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "sick")) * time.Second)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
			default:
				if !breakers.Ready(now, names[i]) {
					if !open {
						tally.Failf(rt, "%s is not ready although its breaker is closed", names[i])
					}
					break
				}
				shadows[i].start(now, breakers.Started(now, names[i]), open)
				if got := shadows[i].recent(now); got > maxProbes {
					tally.Failf(rt, "probes at %s: got %d, want at most %d", names[i], got, maxProbes)
				}
			}
			for j := range shadows {
				if count := len(shadows[j].handles); count > 0 && rapid.IntRange(0, 3).Draw(rt, "end") == 0 {
					handle := shadows[j].end(rapid.IntRange(0, count-1).Draw(rt, "handle"))
					breakers.Ended(now, handle, !now.Before(shadows[j].sickUntil))
				}
			}
			if got, want := float64(breakers.OpenCount()), float64(size)/2; got > want {
				tally.Failf(rt, "open breakers: got %v of %d, want at most a half", got, size)
			}
		}
		now = now.Add(probeTimeout + 2*maxPause + time.Minute)
		for i := range names {
			for range closeSuccesses {
				if !breakers.Ready(now, names[i]) {
					now = now.Add(probeTimeout + 2*maxPause)
				}
				if !breakers.Ready(now, names[i]) {
					tally.Failf(rt, "%s is not probed although it is well", names[i])
				}
				breakers.Ended(now, breakers.Started(now, names[i]), true)
			}
		}
		if got := breakers.OpenCount(); got != 0 {
			tally.Failf(rt, "open breakers after all servers are well: got %d, want 0", got)
		}
	})
}

func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	cases := []struct {
		attempt     int
		least, most time.Duration
	}{
		{attempt: 1, least: 50 * time.Millisecond, most: 100 * time.Millisecond},
		{attempt: 3, least: 200 * time.Millisecond, most: 400 * time.Millisecond},
		{attempt: 100, least: 500 * time.Millisecond, most: time.Second},
	}
	for _, c := range cases {
		seen := make(map[time.Duration]bool)
		for range 50 {
			got := Backoff(random, c.attempt, 100*time.Millisecond, time.Second)
			if got < c.least || got > c.most {
				t.Errorf("wait before attempt %d: got %s, want %s to %s", c.attempt, got, c.least, c.most)
			}
			seen[got] = true
		}
		if len(seen) < 10 {
			t.Errorf("waits before attempt %d: got %d different ones, want at least 10", c.attempt, len(seen))
		}
	}
}
