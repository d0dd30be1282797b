package pipeline

import (
	"testing"
	"time"
)

// fillUp starts requests until none finds room and returns their number.
func fillUp(c *Chooser, now time.Time) (started int) {
	for range 2000 {
		path, ok := c.Choose(now, usual)
		if !ok {
			return started
		}
		c.Started(now, path, usual)
		started++
	}
	return started
}

// A burst fills the memory by promises of whole answers, while requests hold half of them: reports show it, and more requests
// are taken, but never more than fit if all promises came true by the bound.
func TestBurstIsTakenByTheMemoryInUse(t *testing.T) {
	small := engines("a", "small", 8)
	c := newChooser(small, 1)
	promised := fillUp(c, start)
	for range 20 {
		for _, server := range small {
			c.Reported(start, server.ID, Report{Slowness: 1, KVUsed: c.load(server.ID).tokens / 2})
		}
	}
	more := fillUp(c, start)
	if got, least, most := float64(promised+more)/float64(promised), 1.25, 1/leastUse+0.05; got < least || got > most {
		t.Errorf("got %.2f times the requests, want %.2f to %.2f", got, least, most)
	}
}

// Requests that hold more than was promised leave less room for others.
func TestMemoryBeyondThePromisesCounts(t *testing.T) {
	small := engines("a", "small", 8)
	c := newChooser(small, 1)
	for range 12 {
		path, _ := c.Choose(start, usual)
		c.Started(start, path, usual)
	}
	for range 20 {
		for _, server := range small {
			c.Reported(start, server.ID, Report{Slowness: 1, KVUsed: c.load(server.ID).tokens * 1.5})
		}
	}
	alike := newChooser(small, 1)
	if got, want := 12+fillUp(c, start), fillUp(alike, start); got >= want {
		t.Errorf("got %d requests, want fewer than the %d of the promises", got, want)
	}
}

func TestLittleMemoryTeachesNothing(t *testing.T) {
	c := newChooser(engines("a", "small", 8), 1)
	path, _ := c.Choose(start, usual)
	c.Started(start, path, usual)
	c.Reported(start, "a-small-0", Report{Slowness: 1, KVUsed: 1})
	if c.use != 1 {
		t.Errorf("got use %v, want 1 where hardly anything is promised", c.use)
	}
}
