package soak

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// Times and counts of callers that keep their connections, and of what happens to these.
const (
	// keeperCount is the number of callers that keep a connection to one instance.
	keeperCount = 12
	// usualIdleTimeout is the idle timeout at the start and at the end of a run.
	usualIdleTimeout = 15 * time.Second
	// minIdleTimeout and maxIdleTimeout bound the random idle timeouts in between.
	minIdleTimeout, maxIdleTimeout = 60 * time.Millisecond, 150 * time.Millisecond
	// holdUpTime is the time for which an instance is held up, longer than maxIdleTimeout.
	holdUpTime = 400 * time.Millisecond
	// holdUpInterval is the maximum time between two changes of the idle timeout or hold-ups.
	holdUpInterval = 1300 * time.Millisecond
	// exitSlack is the time between the exit of a process and the failures of requests that it explains.
	exitSlack = time.Second
)

// holdUpRandomStream is the number of the stream of random numbers for injectHoldUps; keepers have the numbers that follow.
const holdUpRandomStream = 2000

// injectHoldUps changes the idle timeout, or holds an instance up, at random times until the deadline.
func (h *harness) injectHoldUps(ctx context.Context, deadline time.Time) {
	random := rand.New(rand.NewPCG(h.config.Seed, holdUpRandomStream))
	for time.Now().Before(deadline) && ctx.Err() == nil {
		if random.IntN(2) == 0 {
			h.updateConfig(func() {
				h.idleTimeout = minIdleTimeout + time.Duration(random.Int64N(int64(maxIdleTimeout-minIdleTimeout)))
			})
		} else {
			held := h.instances[random.IntN(len(h.instances))]
			held.signal(syscall.SIGSTOP)
			time.AfterFunc(holdUpTime, func() { held.signal(syscall.SIGCONT) })
		}
		time.Sleep(time.Duration(random.Int64N(int64(holdUpInterval))))
	}
	h.updateConfig(func() { h.idleTimeout = usualIdleTimeout })
}

// runKeeper sends requests to one instance over a connection that it keeps, until ctx is done. Between two requests it pauses for
// about as long as the idle timeout in force, or as maxIdleTimeout if that is shorter.
func (h *harness) runKeeper(ctx context.Context, n int) {
	random := rand.New(rand.NewPCG(h.config.Seed, holdUpRandomStream+1+uint64(n)))
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	kind := []string{"once", "safe"}[n%2]
	var key fakeplatform.APIKey
	h.readConfig(func() { key = h.keys[0] })
	for ctx.Err() == nil {
		h.callers.send(context.WithoutCancel(ctx), client, h.instances[n%len(h.instances)], kind, key)
		var timeout time.Duration
		h.readConfig(func() { timeout = min(h.idleTimeout, maxIdleTimeout) })
		time.Sleep(time.Duration((0.7 + 0.5*random.Float64()) * float64(timeout)))
	}
}

// isCut reports whether an error of a request means that its connection ended after the request had been sent, without a response.
func isCut(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET)
}

// verifyResponses returns the violations of the guarantee that a request which was sent gets a response, unless the process of its
// instance exits; exits holds the times of exits by instance.
func verifyResponses(requests []sentRequest, exits map[string][]time.Time) (violations []string) {
	for _, sent := range requests {
		if sent.cutAt.IsZero() {
			continue
		}
		excused := false
		for _, exit := range exits[sent.instance] {
			excused = excused || exit.After(sent.sentAt.Add(-exitSlack)) && exit.Before(sent.cutAt.Add(exitSlack))
		}
		if !excused {
			violations = append(violations, fmt.Sprintf("%s of kind %s got no response from %s, its connection was cut after %v", sent.id, sent.kind, sent.instance, sent.cutAt.Sub(sent.sentAt)))
		}
	}
	return violations
}
