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

// TestProveRetry checks that a Budget never allows more retries than documented, even if the clock goes back, and that
// it allows retries again once time has passed.
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
				tally.Count("clockback")
				now = now.Add(-time.Duration(rapid.IntRange(0, 60_000).Draw(rt, "back")) * time.Millisecond)
			default:
				tally.Count("brownout")
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
			tally.Failf(rt, "got no retry after the time in which PerSecond adds two, want one")
		}
	})
}

func maxTime(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// serverModel is the state of one server in TestProveBreakers; requests fail until failingUntil.
type serverModel struct {
	handles []Handle
	// trialStarts has the start of each request of handles that is a trial, and the zero time for the others.
	trialStarts  []time.Time
	failingUntil time.Time
}

// start records a request that was sent, with its start if it is a trial.
func (s *serverModel) start(now time.Time, handle Handle, trial bool) {
	s.handles = append(s.handles, handle)
	startedAt := time.Time{}
	if trial {
		startedAt = now
	}
	s.trialStarts = append(s.trialStarts, startedAt)
}

// end removes a request and returns its handle.
func (s *serverModel) end(i int) Handle {
	handle := s.handles[i]
	s.handles = append(s.handles[:i], s.handles[i+1:]...)
	s.trialStarts = append(s.trialStarts[:i], s.trialStarts[i+1:]...)
	return handle
}

// activeTrials returns the number of trials in progress that have not timed out.
func (s *serverModel) activeTrials(now time.Time) (count int) {
	for _, startedAt := range s.trialStarts {
		if !startedAt.IsZero() && now.Sub(startedAt) < trialTimeout {
			count++
		}
	}
	return count
}

// TestProveBreakers checks the limits on trials and tripped breakers under random failures, and that all breakers close
// once the servers have recovered.
func TestProveBreakers(t *testing.T) {
	proptest.Run(t, "breakers", func(rt *rapid.T, tally *proptest.Tally) {
		breakers := NewBreakers(BreakersConfig{Random: rand.New(rand.NewSource(rapid.Int64().Draw(rt, "source")))})
		size := rapid.IntRange(1, 4).Draw(rt, "servers")
		names, models := make([]string, size), make([]serverModel, size)
		for i := range size {
			names[i] = fmt.Sprintf("s%d", i)
		}
		breakers.SetServers(names)
		now := epoch
		for range rapid.IntRange(1, 120).Draw(rt, "steps") {
			tally.Operations++
			i := rapid.IntRange(0, size-1).Draw(rt, "server")
			open := breakers.byServer[names[i]] != nil && breakers.byServer[names[i]].isTripped()
			switch rapid.IntRange(0, 4).Draw(rt, "step") {
			case 0:
				tally.Count("sick")
				models[i].failingUntil = now.Add(time.Duration(rapid.IntRange(0, 60).Draw(rt, "sick")) * time.Second)
			case 1:
				now = now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(rt, "pause")) * time.Millisecond)
			default:
				if !breakers.Allow(now, names[i]) {
					if !open {
						tally.Failf(rt, "%s is not allowed although its breaker is closed", names[i])
					}
					break
				}
				models[i].start(now, breakers.Started(now, names[i]), open)
				if got := models[i].activeTrials(now); got > maxTrials {
					tally.Failf(rt, "trials at %s: got %d, want at most %d", names[i], got, maxTrials)
				}
			}
			for j := range models {
				if count := len(models[j].handles); count > 0 && rapid.IntRange(0, 3).Draw(rt, "end") == 0 {
					handle := models[j].end(rapid.IntRange(0, count-1).Draw(rt, "handle"))
					breakers.Ended(now, handle, !now.Before(models[j].failingUntil))
				}
			}
			if got, want := float64(breakers.TrippedCount()), float64(size)/2; got > want {
				tally.Failf(rt, "tripped breakers: got %v of %d, want at most a half", got, size)
			}
		}
		now = now.Add(trialTimeout + 2*maxOpenTime + time.Minute)
		for i := range names {
			for range closeSuccesses {
				if !breakers.Allow(now, names[i]) {
					now = now.Add(trialTimeout + 2*maxOpenTime)
				}
				if !breakers.Allow(now, names[i]) {
					tally.Failf(rt, "%s gets no trial although it has recovered", names[i])
				}
				breakers.Ended(now, breakers.Started(now, names[i]), true)
			}
		}
		if got := breakers.TrippedCount(); got != 0 {
			tally.Failf(rt, "tripped breakers after all servers have recovered: got %d, want 0", got)
		}
	})
}

// TestBackoff guards against waits outside the bounds, also after so many retries that doubling would overflow, and
// against waits without jitter.
func TestBackoff(t *testing.T) {
	random := rand.New(rand.NewSource(1))
	cases := []struct {
		retry       int
		least, most time.Duration
	}{
		{retry: 1, least: 50 * time.Millisecond, most: 100 * time.Millisecond},
		{retry: 3, least: 200 * time.Millisecond, most: 400 * time.Millisecond},
		{retry: 100, least: 500 * time.Millisecond, most: time.Second},
	}
	for _, c := range cases {
		seen := make(map[time.Duration]bool)
		for range 50 {
			got := Backoff(random, c.retry, 100*time.Millisecond, time.Second)
			if got < c.least || got > c.most {
				t.Errorf("wait before retry %d: got %s, want %s to %s", c.retry, got, c.least, c.most)
			}
			seen[got] = true
		}
		if len(seen) < 10 {
			t.Errorf("waits before retry %d: got %d different values, want at least 10", c.retry, len(seen))
		}
	}
}
