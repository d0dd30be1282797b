package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Times of what backend servers say of themselves.
const (
	// noticeInterval is the maximum time between two servers that say something of themselves.
	noticeInterval = 2 * time.Second
	// leavingTime is how long a server that is leaving still serves requests before it restarts.
	leavingTime = 4 * time.Second
	// drainTime is the time after which an instance must send no request to a server, once a caller got a response through the
	// instance which says that the server is leaving.
	drainTime = 2 * time.Second
	// waitReactionTime is the time after which an instance must have reacted to a server that wants no requests.
	waitReactionTime = 500 * time.Millisecond
	// maxArrivalsInWait is the maximum number of requests that an instance may send to a server after waitReactionTime while the server
	// wants none.
	maxArrivalsInWait = 2
	// listTime is the time in which an instance learns of a new incarnation of a server, also after an outage of the store.
	listTime = 8 * time.Second
)

// noticeRandomStream is the number of the stream of random numbers for what servers say. Callers have the numbers up to callerCount.
const noticeRandomStream = 1000

// invalidRetryAfters are values of Retry-After that state no valid time.
var invalidRetryAfters = []string{"-1", "NaN", "1e9", "Wed, 21 Oct 2026 07:28:00 GMT"}

// interruption is a time in which an instance may miss or forget what servers say, or in which a server may not be heard.
type interruption struct {
	name     string // of the instance or the server
	from, to time.Time
}

// overlaps reports whether the interruption and the time from from to to have a moment in common.
func (i interruption) overlaps(from, to time.Time) bool {
	return !i.from.After(to) && !i.to.Before(from)
}

// interrupt records that an instance or a server is interrupted from now for a time.
func (h *harness) interrupt(name string, duration time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.interruptions = append(h.interruptions, interruption{name: name, from: time.Now(), to: time.Now().Add(duration)})
}

// restart crashes a server and starts its next incarnation after a time.
func (h *harness) restart(s *fakeplatform.Server, after time.Duration) {
	h.interrupt(s.ID, after+listTime)
	s.Crash()
	time.AfterFunc(after, s.Start)
}

// injectNotices makes random servers say that they are leaving, or turn requests away for a time, until the deadline.
func (h *harness) injectNotices(ctx context.Context, deadline time.Time) {
	random := rand.New(rand.NewPCG(h.config.Seed, noticeRandomStream))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		at := time.Since(h.startedAt).Round(time.Millisecond)
		h.said = append(h.said, fmt.Sprintf("%v %s", at, h.say(random)))
		time.Sleep(time.Duration(random.Int64N(int64(noticeInterval))))
	}
}

// say makes a server, or all servers of its service, say something random of themselves and returns what it is.
func (h *harness) say(random *rand.Rand) string {
	server := h.servers[random.IntN(len(h.servers))]
	duration := 300*time.Millisecond + time.Duration(random.Int64N(int64(4*time.Second)))
	switch random.IntN(5) {
	case 0, 1:
		server.Leave()
		time.AfterFunc(leavingTime, func() { h.restart(server, restartDelay) })
		return server.ID + " leaves"
	case 2:
		text := invalidRetryAfters[random.IntN(len(invalidRetryAfters))]
		server.TurnAway(time.Second, text)
		return fmt.Sprintf("%s turns away for %s", server.ID, text)
	case 3:
		service := h.servers[plainServerCount*random.IntN(2)].Service
		for _, other := range h.servers {
			if other.Service == service {
				other.TurnAway(duration, "")
			}
		}
		return fmt.Sprintf("all of %s turn away for %v", service, duration)
	default:
		server.TurnAway(duration, "")
		return fmt.Sprintf("%s turns away for %v", server.ID, duration)
	}
}

// verifyNotices returns the violations of what backend servers said of themselves: requests that an instance sent to a server later
// than drainTime after a caller got a response through the instance which said that the server was leaving, and more than
// maxArrivalsInWait requests within the time for which the server wanted none.
func verifyNotices(requests []sentRequest, arrivals []fakeplatform.Arrival, interruptions []interruption) (violations []string) {
	sent := make(map[string]sentRequest, len(requests))
	for _, request := range requests {
		sent[request.id] = request
	}
	type link struct{ instance, server string }
	byLink := make(map[link][]fakeplatform.Arrival)
	for _, arrival := range arrivals {
		key := link{sent[arrival.RequestID].instance, arrival.Server}
		byLink[key] = append(byLink[key], arrival)
	}
	for key, arrivals := range byLink {
		server, _, _ := strings.Cut(key.server, "@")
		interrupted := func(from, to time.Time) bool {
			return slices.ContainsFunc(interruptions, func(i interruption) bool {
				return (i.name == key.instance || i.name == server) && i.overlaps(from, to)
			})
		}
		for _, said := range arrivals {
			if late := lateArrivals(sent, said, arrivals, interrupted); late > 0 {
				violations = append(violations, fmt.Sprintf("%s told %s with %s that it was leaving, and got %d requests later", key.server, key.instance, said.RequestID, late))
			}
			if again := arrivalsInWait(said, arrivals, interrupted); again > maxArrivalsInWait {
				violations = append(violations, fmt.Sprintf("%s told %s with %s to wait for %v, and got %d requests", key.server, key.instance, said.RequestID, said.Wait, again))
			}
		}
	}
	return violations
}

// lateArrivals returns the number of arrivals of requests that were sent longer than drainTime after a response arrived which said
// that the server was leaving.
func lateArrivals(sent map[string]sentRequest, said fakeplatform.Arrival, arrivals []fakeplatform.Arrival, interrupted func(from, to time.Time) bool) (count int) {
	toldAt := sent[said.RequestID].leavingAt
	if !said.Leaving || toldAt.IsZero() {
		return 0
	}
	for _, arrival := range arrivals {
		if sent[arrival.RequestID].sentAt.After(toldAt.Add(drainTime)) && !interrupted(toldAt, arrival.At) {
			count++
		}
	}
	return count
}

// arrivalsInWait returns the number of arrivals later than waitReactionTime within the time for which the server wanted none.
func arrivalsInWait(said fakeplatform.Arrival, arrivals []fakeplatform.Arrival, interrupted func(from, to time.Time) bool) (count int) {
	from, to := said.At.Add(waitReactionTime), said.At.Add(said.Wait)
	for _, arrival := range arrivals {
		if arrival.At.After(from) && arrival.At.Before(to) && !interrupted(said.At, arrival.At) {
			count++
		}
	}
	return count
}
