package poison

import (
	"fmt"
	"testing"
	"time"
)

// Guards against instances that together write more, the more of them there are.
func TestWriteInterval(t *testing.T) {
	tests := []struct {
		instances, size int
		want            time.Duration
	}{
		{1, 0, minWriteInterval},
		{9, 300, minWriteInterval},
		{200, 0, time.Second},
		{200, 1 << 10, 6250 * time.Millisecond},
		{490, 0, 2450 * time.Millisecond},
	}
	for _, test := range tests {
		if got := WriteInterval(test.instances, test.size); got != test.want {
			t.Errorf("%d instances, %d bytes: got %v, want %v", test.instances, test.size, got, test.want)
		}
	}
}

// Guards against instances that wait equally long for each other, so that all of them tell the same at the same time, and against a
// single instance that waits.
func TestDelaysDiffer(t *testing.T) {
	const instances, early = 200, 10
	delays := []struct {
		name    string
		delay   func(self string, instances int) time.Duration
		longest time.Duration
	}{
		{"clear", func(self string, instances int) time.Duration { return clearDelay(self, "part", instances) }, maxClearDelay},
		{"answers", func(self string, instances int) time.Duration { return answerReportDelay(self, "engine", instances) }, maxAnswerDelay},
	}
	for _, test := range delays {
		if got := test.delay("a", 1); got != 0 {
			t.Errorf("%s: got a delay of %v for a single instance, want none", test.name, got)
		}
		seen := make(map[time.Duration]bool)
		for i := range instances {
			delay := test.delay(fmt.Sprint("instance-", i), instances)
			if delay < 0 || delay > test.longest {
				t.Errorf("%s: got a delay of %v, want %v at most", test.name, delay, test.longest)
			}
			seen[delay*early/test.longest] = true
		}
		if len(seen) < early/2 {
			t.Errorf("%s: got delays in %d of %d parts of the time, want them spread", test.name, len(seen), early)
		}
	}
}
