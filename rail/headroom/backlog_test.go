package headroom

import (
	"container/heap"
	"testing"
	"time"
)

// arrival is a request that a caller sends.
type arrival struct {
	at    time.Time
	again bool // whether it was refused before
}

// arrivals is a heap of requests by their time.
type arrivals []arrival

func (a arrivals) Len() int           { return len(a) }
func (a arrivals) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a arrivals) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }

// Push and Pop implement heap.Interface.
func (a *arrivals) Push(x any) {
	if next, ok := x.(arrival); ok {
		*a = append(*a, next)
	}
}

func (a *arrivals) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// Sizes of simulateBurst.
const (
	burstSlots    = 100             // requests that fit
	burstDuration = time.Second     // of a request
	burstBegin    = 5 * time.Second // of the burst
	burstLength   = 5 * time.Second
	burstFactor   = 3 // the load in the burst, as a multiple of that at other times
)

// simulateBurst sends requests at 0.8 of the capacity, and at burstFactor times that in a burst. A refused request comes back once,
// after the wait. It returns the fractions that were served at once in the second half of the burst, and at all.
func simulateBurst(wait func(l *Limiter, now time.Time, n int) time.Duration) (first, all float64) {
	limiter, class := New(testConfig), Class{Workspace: "one"}
	var queue arrivals
	for at := time.Duration(0); at < 20*time.Second; {
		queue = append(queue, arrival{at: start.Add(at)})
		interval := burstDuration * 10 / (8 * burstSlots)
		if at >= burstBegin && at < burstBegin+burstLength {
			interval /= burstFactor
		}
		at += interval
	}
	var ends []time.Time
	sent, lateSent, firsts, served := len(queue), 0, 0, 0
	for n := 0; len(queue) > 0; n++ {
		next, _ := heap.Pop(&queue).(arrival)
		for len(ends) > 0 && !ends[0].After(next.at) {
			ends = ends[1:]
			limiter.Ended(class, 1)
		}
		late := !next.again && next.at.After(start.Add(burstBegin+burstLength/2)) && next.at.Before(start.Add(burstBegin+burstLength))
		if late {
			lateSent++
		}
		if len(ends) < burstSlots {
			limiter.Started(next.at, class, 1)
			ends = append(ends, next.at.Add(burstDuration))
			served++
			if late {
				firsts++
			}
			continue
		}
		limiter.Refused(next.at, class)
		if !next.again {
			heap.Push(&queue, arrival{at: next.at.Add(wait(limiter, next.at, n)), again: true})
		}
	}
	return float64(firsts) / float64(lateSent), float64(served) / float64(sent)
}

// Guards against refused callers who come back while there is still no room, are refused for good and take the place of others, also
// because the wait leaves no place for new requests.
func TestWaitBringsRefusedCallersBackAfterABurst(t *testing.T) {
	const shortWait = 300 * time.Millisecond
	spread := func(base time.Duration, n int) time.Duration { return base + base*time.Duration(n%10)/10 }
	shortFirst, shortAll := simulateBurst(func(_ *Limiter, _ time.Time, n int) time.Duration { return spread(shortWait, n) })
	first, all := simulateBurst(func(l *Limiter, now time.Time, n int) time.Duration { return max(spread(l.Wait(now)/2, n), shortWait) })
	if want := shortFirst + 0.08; first < want {
		t.Errorf("got %.2f served at once late in the burst, want at least %.2f; %.2f with short waits", first, want, shortFirst)
	}
	if want := shortAll + 0.08; all < want {
		t.Errorf("got %.2f served, want at least %.2f; %.2f with short waits", all, want, shortAll)
	}
}

// Guards against a wait without a shortage, one without a bound, and one that stays after the shortage.
func TestWaitFollowsBacklog(t *testing.T) {
	limiter, class := New(testConfig), Class{Workspace: "one"}
	if got := limiter.Wait(start); got != 0 {
		t.Errorf("got a wait of %v before any request, want none", got)
	}
	for range 100 {
		limiter.Started(start, class, 1)
	}
	for range 10 {
		limiter.Refused(start, class)
	}
	if got, want := limiter.Wait(start), backlogTime/5; got != want {
		t.Errorf("got %v after one of eleven was refused, want %v", got, want)
	}
	for range 1000 {
		limiter.Refused(start, class)
	}
	if got, want := limiter.Wait(start), maxBacklogWait; got != want {
		t.Errorf("got %v after most were refused, want %v", got, want)
	}
	later := start.Add(10 * backlogTime)
	for range 100 {
		limiter.Started(later, class, 1)
	}
	if got, want := limiter.Wait(later), 10*time.Millisecond; got > want {
		t.Errorf("got %v long after the shortage, want %v at most", got, want)
	}
}
