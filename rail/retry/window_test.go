package retry

import (
	"testing"
	"time"
)

// Half the callers' requests fail at once, in every period: repeats stay within a fifth of the requests and the burst.
func TestWindowBoundsRepeats(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	w := NewWindow(now, WindowConfig{Ratio: 0.2, Burst: 20, Period: 10 * time.Second})
	var repeats []time.Time
	for i := range 3000 {
		at := now.Add(time.Duration(i) * 10 * time.Millisecond)
		w.CountRequest(at)
		if i%2 == 0 && w.Allow(at, 2) {
			repeats = append(repeats, at)
		}
	}
	if len(repeats) == 0 {
		t.Fatal("got no repeats, want some")
	}
	for i, from := range repeats {
		got := 0
		for _, at := range repeats[i:] {
			if at.Sub(from) < 10*time.Second {
				got++
			}
		}
		if want := int(0.2*1000) + 20; got > want {
			t.Fatalf("got %d repeats in 10 s from %v, want %d at most", got, from.Sub(now), want)
		}
	}
}
