package soak

import (
	"fmt"
	"slices"
	"syscall"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Times of hold-ups and of requests without an answer.
const (
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

// holdUpInstances suspends random instances with SIGSTOP a few times in succession, so that the hold-ups may overlap.
func (h *harness) holdUpInstances() string {
	description := ""
	for n := range 2 + h.random.IntN(3) {
		i, duration := h.randomInstance(), h.randomDuration(minHoldUp, maxHoldUp)
		description += fmt.Sprintf("%s for %v ", i.name, duration.Round(time.Millisecond))
		time.AfterFunc(time.Duration(n)*holdUpInterval, func() {
			h.interrupt(i.name, duration)
			i.signal(syscall.SIGSTOP)
			time.AfterFunc(duration, func() { i.signal(syscall.SIGCONT) })
		})
	}
	return description
}

// changeTimeouts writes a configuration with other timeouts: an idle timeout about as long as the callers' pauses, or the default one.
func (h *harness) changeTimeouts() string {
	timeouts := fakeplatform.Timeouts{Route: h.randomDuration(1500*time.Millisecond, 3*time.Second), Idle: fakeplatform.DefaultTimeouts.Idle}
	if h.random.IntN(3) > 0 {
		timeouts.Idle = h.randomDuration(60*time.Millisecond, 150*time.Millisecond)
	}
	h.updateConfig(func() { h.timeouts = timeouts })
	return fmt.Sprintf("route %v, idle %v", timeouts.Route.Round(time.Millisecond), timeouts.Idle.Round(time.Millisecond))
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
