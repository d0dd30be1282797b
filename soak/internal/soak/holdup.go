package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Times of hold-ups and of requests without an answer.
const (
	// seriesInterval is the maximum time between the starts of two series of hold-ups, or changes of timeouts.
	seriesInterval = 1500 * time.Millisecond
	// holdUpInterval is the time between the starts of two hold-ups of a series.
	holdUpInterval = 600 * time.Millisecond
	// minHoldUp and maxHoldUp are the limits of the time of a hold-up. They exceed the timeouts of probes and low idle timeouts.
	minHoldUp, maxHoldUp = 400 * time.Millisecond, 1500 * time.Millisecond
	// lossSlack is the maximum time after the last byte of a request in which its connection may end without a response, because both
	// may have crossed.
	lossSlack = 200 * time.Millisecond
	// exitTime is the maximum time between the end of a connection and the exit of the process because of which it ended.
	exitTime = time.Second
)

// Numbers of the streams of random numbers for hold-ups, and from pauseRandomStream on for the pauses of the callers.
const (
	holdUpRandomStream = 2000
	pauseRandomStream  = 3000
)

// injectHoldUps holds instances up and changes timeouts until the deadline. It holds none up in runs with an even seed, since a hold-up
// excuses what an instance may have missed of servers' notices.
func (h *harness) injectHoldUps(ctx context.Context, deadline time.Time) {
	random := rand.New(rand.NewPCG(h.config.Seed, holdUpRandomStream))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		inject := h.holdUpInstances
		if random.IntN(2) == 0 || h.config.Seed%2 == 0 {
			inject = h.changeTimeouts
		}
		at := time.Since(h.startedAt).Round(time.Millisecond)
		h.heldUp = append(h.heldUp, fmt.Sprintf("%v %s", at, inject(random)))
		time.Sleep(between(random, 0, seriesInterval))
	}
}

// between returns a duration of at least low and less than high.
func between(random *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(random.Int64N(int64(high-low)))
}

// holdUpInstances suspends random instances with SIGSTOP a few times in succession, so that the hold-ups may overlap.
func (h *harness) holdUpInstances(random *rand.Rand) string {
	description := "hold-ups"
	for n := range 2 + random.IntN(3) {
		i, duration := h.instances[random.IntN(len(h.instances))], between(random, minHoldUp, maxHoldUp)
		description += fmt.Sprintf(" %s for %v", i.name, duration.Round(time.Millisecond))
		time.AfterFunc(time.Duration(n)*holdUpInterval, func() {
			h.interrupt(i.name, duration)
			i.signal(syscall.SIGSTOP)
			time.AfterFunc(duration, func() { i.signal(syscall.SIGCONT) })
		})
	}
	return description
}

// changeTimeouts writes a configuration with other timeouts: an idle timeout about as long as the callers' pauses, or the default one.
func (h *harness) changeTimeouts(random *rand.Rand) string {
	timeouts := fakeplatform.Timeouts{Route: between(random, 1500*time.Millisecond, 3*time.Second), Idle: fakeplatform.DefaultTimeouts.Idle}
	if random.IntN(3) > 0 {
		timeouts.Idle = between(random, 60*time.Millisecond, 150*time.Millisecond)
	}
	h.updateConfig(func() { h.timeouts = timeouts })
	return fmt.Sprintf("timeouts route %v, idle %v", timeouts.Route.Round(time.Millisecond), timeouts.Idle.Round(time.Millisecond))
}

// exits returns the times at which the processes of the instances exited, by the name of the instance.
func (h *harness) exits() map[string][]time.Time {
	exits := make(map[string][]time.Time)
	for _, i := range h.instances {
		i.mu.Lock()
		exits[i.name] = slices.Clone(i.exits)
		i.mu.Unlock()
	}
	return exits
}

// verifyAnswered returns the violations by requests that got neither a response nor a refusal, although their instance did not exit:
// their connections ended later than lossSlack after the last byte.
func verifyAnswered(requests []sentRequest, exits map[string][]time.Time) (violations []string) {
	for _, sent := range requests {
		waited := sent.cutAt.Sub(sent.writtenAt)
		exited := slices.ContainsFunc(exits[sent.instance], func(at time.Time) bool {
			return at.After(sent.writtenAt) && at.Before(sent.cutAt.Add(exitTime))
		})
		if !sent.writtenAt.IsZero() && waited > lossSlack && !exited {
			violations = append(violations, fmt.Sprintf(
				"%s (%s) to %s was cut without a response %v after its last byte", sent.id, sent.kind, sent.instance, waited.Round(time.Millisecond)))
		}
	}
	return violations
}
