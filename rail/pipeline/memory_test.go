package pipeline

import (
	"testing"
	"time"
)

// startUntilFull starts requests until Choose refuses one and returns their number.
func startUntilFull(c *Chooser, now time.Time) (started int) {
	for range 2000 {
		chain, ok := c.Choose(now, usualRequest)
		if !ok {
			return started
		}
		c.Started(now, chain, usualRequest)
		started++
	}
	return started
}

// TestBurstUsesReportedMemory guards against refusing requests although there is free memory, and against accepting
// more than minKVUseRatio allows. A burst of requests reserves all memory, but the engines report that half of it is
// used.
func TestBurstUsesReportedMemory(t *testing.T) {
	small := engines("a", "small", 8)
	c := newChooser(small, 1)
	initial := startUntilFull(c, start)
	for range 20 {
		for _, server := range small {
			c.ProbeSucceeded(start, server.ID, ProbeResponse{Slowness: 1, KVUsed: c.state(server.ID).reservedKV / 2})
		}
	}
	more := startUntilFull(c, start)
	if got, lowest, highest := float64(initial+more)/float64(initial), 1.25, 1/minKVUseRatio+0.05; got < lowest || got > highest {
		t.Errorf("got %.2f times the requests, want %.2f to %.2f", got, lowest, highest)
	}
}

// TestUseAboveReservationCounts guards against accepting as many requests as the reservations allow while reports show
// that the requests use more memory than was reserved.
func TestUseAboveReservationCounts(t *testing.T) {
	small := engines("a", "small", 8)
	c := newChooser(small, 1)
	for range 12 {
		chain, _ := c.Choose(start, usualRequest)
		c.Started(start, chain, usualRequest)
	}
	for range 20 {
		for _, server := range small {
			c.ProbeSucceeded(start, server.ID, ProbeResponse{Slowness: 1, KVUsed: c.state(server.ID).reservedKV * 1.5})
		}
	}
	baseline := newChooser(small, 1)
	if got, want := 12+startUntilFull(c, start), startUntilFull(baseline, start); got >= want {
		t.Errorf("got %d requests, want fewer than the %d that fit by reservations alone", got, want)
	}
}

// TestLowFillIsNotSampled guards against an estimate from the report of an engine with nearly no reserved memory.
func TestLowFillIsNotSampled(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	chain, _ := c.Choose(start, usualRequest)
	c.Started(start, chain, usualRequest)
	c.ProbeSucceeded(start, "a-small-0", ProbeResponse{Slowness: 1, KVUsed: 1})
	if c.kvUseRatio != 1 {
		t.Errorf("got ratio %v, want 1 while little memory is reserved", c.kvUseRatio)
	}
}
