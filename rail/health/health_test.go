package health

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// TestHealthy guards against a server that becomes unhealthy or healthy too early, or stays healthy although it fails.
// It replays successful (s) and failed (f) probes and successful traffic (t), 100 ms apart. Each failed probe was sent
// 150 ms earlier, which is before the previous event.
func TestHealthy(t *testing.T) {
	const ok, fail, traffic = 's', 'f', 't'
	tests := []struct {
		name, events string
		want         bool
	}{
		{"no probes", "", false},
		{"first success", "s", true},
		{"one failure", "sf", true},
		{"failures with successes between", "sffsffsff", true},
		{"three failures", "sfff", false},
		{"failures during successful traffic", "stftftf", true},
		{"three failures after successful traffic", "stffff", false},
		{"recovery after one unhealthy time", "sfffs", true},
		{"one success after two unhealthy times", "sfffsfffs", false},
		{"two successes after two unhealthy times", "sfffsfffss", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var s State
			var lastServed time.Time
			now := time.Unix(100, 0)
			for _, event := range test.events {
				now = now.Add(100 * time.Millisecond)
				switch event {
				case ok:
					s.RecordSuccess(DefaultConfig(), now)
				case fail:
					s.RecordFailure(DefaultConfig(), now.Add(-150*time.Millisecond), lastServed, now)
				case traffic:
					lastServed = now
				}
			}
			if got := s.Healthy(); got != test.want {
				t.Errorf("healthy = %t, want %t", got, test.want)
			}
		})
	}
}

// TestScheduleRate guards against probes that exceed the maximum rate or ignore the interval or the backoff, and
// against servers that are probed more often than others. It counts the probes in 10 s.
func TestScheduleRate(t *testing.T) {
	tests := []struct {
		servers  int
		failing  bool
		min, max int
	}{
		{servers: 3, min: 45, max: 90},
		{servers: 3, failing: true, min: 9, max: 60},
		{servers: 30, min: 450, max: 501},
		{servers: 1900, min: 499, max: 501},
	}
	for _, test := range tests {
		t.Run(fmt.Sprintf("%d servers, failing %t", test.servers, test.failing), func(t *testing.T) {
			s := NewSchedule(DefaultScheduleConfig(rand.New(rand.NewPCG(1, 1))))
			now := time.Unix(0, 0)
			names := make([]string, test.servers)
			for i := range names {
				names[i] = fmt.Sprint(i)
			}
			s.SetServers(names, now)
			probes := make(map[string]int)
			total := 0
			for end := now.Add(10 * time.Second); now.Before(end); {
				name, wait := s.Next(now)
				if name == "" {
					now = now.Add(wait)
					continue
				}
				total++
				probes[name]++
				s.Complete(name, !test.failing, now)
			}
			if total < test.min || total > test.max {
				t.Errorf("got %d probes in 10 s, want %d to %d", total, test.min, test.max)
			}
			for name, count := range probes {
				if fair := total/test.servers + 2; test.servers > 100 && count > fair {
					t.Errorf("server %s was probed %d times, want at most %d", name, count, fair)
				}
			}
		})
	}
}

// TestScheduleOutstanding checks that a server with an outstanding probe is not probed again, nor one that was removed
// during the probe.
func TestScheduleOutstanding(t *testing.T) {
	s := NewSchedule(DefaultScheduleConfig(rand.New(rand.NewPCG(1, 1))))
	now := time.Unix(0, 0)
	s.SetServers([]string{"a"}, now)
	now = now.Add(time.Second)
	if got, _ := s.Next(now); got != "a" {
		t.Fatalf("got %q, want a", got)
	}
	if got, _ := s.Next(now.Add(time.Minute)); got != "" {
		t.Errorf("got %q while a probe is outstanding, want none", got)
	}
	s.SetServers(nil, now)
	s.Complete("a", true, now)
	if got, _ := s.Next(now.Add(time.Minute)); got != "" {
		t.Errorf("got %q after the server was removed, want none", got)
	}
}
