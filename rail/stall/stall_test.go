package stall

import (
	"testing"
	"time"
)

// TestHandleProbe guards against a wrong reaction to one probe, such as resuming on a chain with an unresponsive stage.
func TestHandleProbe(t *testing.T) {
	start := time.Unix(1000, 0)
	config := DefaultConfig()
	tests := []struct {
		name string
		// extraWait is the time beyond MinTokenTimeout before the probe.
		extraWait time.Duration
		result    ProbeResult
		want      Verdict
	}{
		{"no fault", 0, ProbeResult{}, Wait},
		{"unresponsive stage", 0, ProbeResult{Unresponsive: true}, Replace},
		{"restarted stage", 0, ProbeResult{AttemptLost: true}, Resume},
		{"undelivered activation", 0, ProbeResult{Undelivered: true}, Wait},
		{"connection timed out", config.MinFrameTimeout, ProbeResult{}, Resume},
		{"connection timed out and unresponsive stage", config.MinFrameTimeout, ProbeResult{Unresponsive: true}, Replace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d := New(config, start)
			for i := range 5 {
				d.ObserveToken(start.Add(time.Duration(i) * 10 * time.Millisecond))
			}
			last := start.Add(40 * time.Millisecond)
			now := last.Add(config.MinTokenTimeout + test.extraWait)
			test.result.StartedAt = now
			if got := d.HandleProbe(now, test.result); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestHandleProbeRepeated guards against waiting forever for a stream without progress, and against resuming one that makes
// progress.
func TestHandleProbeRepeated(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name   string
		result ProbeResult
		// wantProbes is the number of probes up to the first Resume, 0 for no Resume.
		wantProbes int
	}{
		{"undelivered activation", ProbeResult{Undelivered: true}, 2},
		{"no progress", ProbeResult{}, DefaultConfig().MaxIdleProbes + 1},
		{"progress", ProbeResult{Progressed: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			d, got := New(DefaultConfig(), now), 0
			for probe := 1; probe <= 50 && got == 0; probe++ {
				d.ObserveFrame(now)
				test.result.StartedAt = now
				if d.HandleProbe(now, test.result) == Resume {
					got = probe
				}
			}
			if got != test.wantProbes {
				t.Errorf("got Resume after %d probes, want %d", got, test.wantProbes)
			}
		})
	}
}

// TestNextProbeAdaptsToGaps guards against a token timeout below MinTokenTimeout for quick tokens or above MaxTimeout for slow
// ones.
func TestNextProbeAdaptsToGaps(t *testing.T) {
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
			d := New(config, now)
			for range 200 {
				now = now.Add(test.gap)
				d.ObserveToken(now)
			}
			if got := d.NextProbe().Sub(now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
