package soak

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Times and counts of the requests that crash each server that begins to run them.
const (
	// crashingInterval is the maximum time between two of them.
	crashingInterval = 400 * time.Millisecond
	// crashedTime is how long a server is down that such a request has crashed.
	crashedTime = 2 * time.Second
	// crashesToLearn is the number of crashes after which such a request is to be known.
	crashesToLearn = 3
	// crashLearnTime is the time in which all instances must know of it.
	crashLearnTime = 3 * time.Second
	// maxLateCrashing is the maximum number of servers that it may crash after that.
	maxLateCrashing = 3
)

// crashingRandomStream is the number of the stream of random numbers for these requests.
const crashingRandomStream = 2000

// sendsCrashing reports whether requests that crash servers are sent with the seed, which is the case with half of all seeds.
func sendsCrashing(seed uint64) bool { return seed/2%2 == 1 }

// sendCrashing sends requests that crash servers, a plain one and a stream that are always the same, to random instances until the
// deadline.
func (h *harness) sendCrashing(ctx context.Context, deadline time.Time) {
	if !sendsCrashing(h.config.Seed) {
		return
	}
	random := rand.New(rand.NewPCG(h.config.Seed, crashingRandomStream))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	key := h.keys[0] // is never revoked
	for time.Now().Before(deadline) && ctx.Err() == nil {
		kind := []string{"safe", "stream"}[random.IntN(2)]
		h.callers.sendCrashing(context.WithoutCancel(ctx), client, h.instances[random.IntN(len(h.instances))], kind, key)
		time.Sleep(time.Duration(random.Int64N(int64(crashingInterval))))
	}
}

// crashed is called by a server that a request has crashed.
func (h *harness) crashed(s *fakeplatform.Server) { h.restart(s, crashedTime) }

// verifyCrashing returns a violation for each request that crashes servers and has crashed more than maxLateCrashing of them later than
// crashLearnTime after its third crash, sent by instances that were not interrupted within that time and reached the store if it was
// there. Instances tell each other of crashes, so that an outage of the store excuses nothing.
func verifyCrashing(requests []sentRequest, crashes []fakeplatform.Run, interruptions []interruption) (violations []string) {
	sent := make(map[string]sentRequest)
	for _, request := range requests {
		sent[request.id] = request
	}
	byKind := make(map[string][]fakeplatform.Run)
	for _, crash := range crashes {
		kind := sent[crash.RequestID].kind
		byKind[kind] = append(byKind[kind], crash)
	}
	for _, kind := range slices.Sorted(maps.Keys(byKind)) {
		crashes := byKind[kind]
		if len(crashes) < crashesToLearn {
			continue
		}
		slices.SortFunc(crashes, func(a, b fakeplatform.Run) int { return a.StartedAt.Compare(b.StartedAt) })
		knownAt := crashes[crashesToLearn-1].StartedAt.Add(crashLearnTime)
		late := slices.DeleteFunc(slices.Clone(crashes), func(crash fakeplatform.Run) bool {
			return !crash.StartedAt.After(knownAt) || wasInterrupted(interruptions, sent[crash.RequestID].instance, crash.StartedAt)
		})
		if len(late) > maxLateCrashing {
			const format = "the %s request that crashes servers has crashed %d of them, %d later than %v after the third"
			violations = append(violations, fmt.Sprintf(format, kind, len(crashes), len(late), crashLearnTime))
		}
	}
	return violations
}

// disturbStore records that an instance may not reach the store from now for a time.
func (h *harness) disturbStore(instance string, duration time.Duration) {
	now := time.Now()
	h.storeFaults = append(h.storeFaults, interruption{name: instance, from: now, to: now.Add(duration)})
}

// wasInterrupted reports whether an instance was interrupted within crashLearnTime before a time.
func wasInterrupted(interruptions []interruption, instance string, at time.Time) bool {
	return slices.ContainsFunc(interruptions, func(i interruption) bool {
		return i.name == instance && i.overlaps(at.Add(-crashLearnTime), at)
	})
}
