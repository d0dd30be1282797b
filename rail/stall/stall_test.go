package stall

import (
	"testing"
	"time"
)

func TestProbed(t *testing.T) {
	start := time.Unix(1000, 0)
	config := DefaultConfig()
	tests := []struct {
		name    string
		silence time.Duration
		finding ProbeResult
		want    Action
	}{
		{"slow but alive", 0, ProbeResult{}, Wait},
		{"a stage does not answer", 0, ProbeResult{Unresponsive: true}, Replace},
		{"a stage was restarted", 0, ProbeResult{AttemptLost: true}, Resume},
		{"an activation is on its way", 0, ProbeResult{Undelivered: true}, Wait},
		{"the connection is silent, the stages are alive", config.MinFrameTimeout, ProbeResult{}, Resume},
		{"the connection is silent and a stage too", config.MinFrameTimeout, ProbeResult{Unresponsive: true}, Replace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New(config, start)
			for i := range 5 {
				w.ObserveToken(start.Add(time.Duration(i) * 10 * time.Millisecond))
			}
			last := start.Add(40 * time.Millisecond)
			now := last.Add(config.MinTokenTimeout + test.silence)
			test.finding.StartedAt = now
			if got := w.HandleProbe(now, test.finding); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestProbedRepeatedly(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		finding ProbeResult
		want    int
	}{
		{"a gap is confirmed by the second probe", ProbeResult{Undelivered: true}, 2},
		{"patience ends", ProbeResult{}, DefaultConfig().MaxIdleProbes + 1},
		{"work goes on", ProbeResult{Progressed: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, got := New(DefaultConfig(), now), 0
			for probe := 1; probe <= 50 && got == 0; probe++ {
				w.ObserveFrame(now)
				test.finding.StartedAt = now
				if w.HandleProbe(now, test.finding) == Resume {
					got = probe
				}
			}
			if got != test.want {
				t.Errorf("got a resume after %d probes, want %d", got, test.want)
			}
		})
	}
}

func TestDeadlineFollowsGaps(t *testing.T) {
	config := DefaultConfig()
	tests := []struct {
		name string
		gap  time.Duration
		want time.Duration
	}{
		{"quick tokens", time.Millisecond, config.MinTokenTimeout},
		{"slow tokens", 10 * time.Second, config.MaxTimeout},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := New(config, now)
			for range 200 {
				now = now.Add(test.gap)
				w.ObserveToken(now)
			}
			if got := w.NextProbe().Sub(now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
