package holdup

import (
	"testing"
	"time"
)

const ms = time.Millisecond

// observe observes a process that runs from one time to another.
func observe(m *Meter, from, to time.Duration) {
	for now := from; now < to; now += Interval {
		m.Running(now)
	}
	m.Running(to)
}

// Guards against a hold-up being counted as time in which others were silent, and against running time being left out.
func TestRunningLeavesOutHoldUps(t *testing.T) {
	tests := []struct {
		name string
		gap  time.Duration // without observations, after 200 ms
		want time.Duration // running time 200 ms after the gap
	}{
		{"no hold-up", 50 * ms, 450 * ms},
		{"busy process", 150 * ms, 550 * ms},
		{"short hold-up", 160 * ms, 450 * ms},
		{"long hold-up", 5 * time.Second, 450 * ms},
	}
	for _, test := range tests {
		var m Meter
		observe(&m, 0, 200*ms)
		observe(&m, 200*ms+test.gap, 400*ms+test.gap)
		if got := m.Running(400*ms + test.gap); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
	}
}

// Guards against a process that is held up again and again never ending a timeout.
func TestTimeoutEndsInRepeatedHoldUps(t *testing.T) {
	var m Meter
	timeout := m.Start(0, time.Second)
	now := time.Duration(0)
	for ; m.Left(now, &timeout) > 0; now += 200 * ms {
		if now > time.Minute {
			t.Fatal("got a timeout that does not end")
		}
	}
	if got, want := now, 4*time.Second; got != want {
		t.Errorf("got an end at %v, want %v", got, want)
	}
}

// Guards against a call being given up at the end of a hold-up although its response has had no time to be read.
func TestTimeoutOutlastsHoldUp(t *testing.T) {
	tests := []struct {
		name          string
		timeout, runs time.Duration // the timeout, and for how long the process runs before the hold-up
		want          time.Duration // what is left after the hold-up
	}{
		{"most is left", 1000 * ms, 200 * ms, 750 * ms},
		{"shorter than a hold-up counts", 40 * ms, 10 * ms, grace},
		{"nearly over", 1000 * ms, 990 * ms, grace},
	}
	for _, test := range tests {
		var m Meter
		timeout := m.Start(0, test.timeout)
		observe(&m, 0, test.runs)
		if got := m.Left(test.runs+time.Second, &timeout); got != test.want {
			t.Errorf("%s: got %v, want %v", test.name, got, test.want)
		}
		end := test.runs + time.Second + test.want + Interval
		observe(&m, test.runs+time.Second, end)
		if got := m.Left(end, &timeout); got > 0 {
			t.Errorf("%s: got %v after that time, want an end", test.name, got)
		}
	}
}

// Guards against a hold-up before its start prolonging a timeout.
func TestTimeoutIgnoresEarlierHoldUp(t *testing.T) {
	var m Meter
	m.Running(0)
	timeout := m.Start(time.Second, 100*ms)
	observe(&m, time.Second, time.Second+100*ms)
	if got := m.Left(time.Second+100*ms, &timeout); got > 0 {
		t.Errorf("got %v left, want an end", got)
	}
}
