package silence

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
		finding Finding
		want    Action
	}{
		{"slow but alive", 0, Finding{}, Wait},
		{"a stage does not answer", 0, Finding{Silent: true}, Replace},
		{"a stage was restarted", 0, Finding{Lost: true}, Resume},
		{"an activation is on its way", 0, Finding{Gap: true}, Wait},
		{"the connection is silent, the stages are alive", config.Floor, Finding{}, Resume},
		{"the connection is silent and a stage too", config.Floor, Finding{Silent: true}, Replace},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := New(config, start)
			for i := range 5 {
				w.Token(start.Add(time.Duration(i) * 10 * time.Millisecond))
			}
			last := start.Add(40 * time.Millisecond)
			now := last.Add(config.TokenFloor + test.silence)
			test.finding.Began = now
			if got := w.Probed(now, test.finding); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

func TestProbedRepeatedly(t *testing.T) {
	now := time.Unix(1000, 0)
	tests := []struct {
		name    string
		finding Finding
		want    int
	}{
		{"a gap is confirmed by the second probe", Finding{Gap: true}, 2},
		{"patience ends", Finding{}, DefaultConfig().Patience + 1},
		{"work goes on", Finding{Moved: true}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w, got := New(DefaultConfig(), now), 0
			for probe := 1; probe <= 50 && got == 0; probe++ {
				w.Alive(now)
				test.finding.Began = now
				if w.Probed(now, test.finding) == Resume {
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
		{"quick tokens", time.Millisecond, config.TokenFloor},
		{"slow tokens", 10 * time.Second, config.Ceiling},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			w := New(config, now)
			for range 200 {
				now = now.Add(test.gap)
				w.Token(now)
			}
			if got := w.Deadline().Sub(now); got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}
