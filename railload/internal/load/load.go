package load

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// runIDLength is the number of characters in the random id of one call of Run.
const runIDLength = 8

// runCountsTimeout is the timeout for reading the run counts of a service.
const runCountsTimeout = 10 * time.Second

// loadRun is the state of one call of Run.
type loadRun struct {
	config   Config
	balancer *balancer

	// mu protects the fields below while requests are in progress.
	mu     sync.Mutex
	report *Report
	// callVerdicts holds the verdict of each plain call by its id.
	callVerdicts map[string]Verdict
}

// Run sends the requests, waits for every answer and returns the report, or an error if the configuration is invalid or
// the run counts of a service cannot be read. If the context ends, Run sends no further requests but still waits for
// the answers to those already sent.
func Run(ctx context.Context, config Config) (report *Report, err error) {
	defer errors.DeferredAnnotatef(&err, "load")
	if err = config.validate(); err != nil {
		return nil, err
	}
	r := &loadRun{config: config, balancer: newBalancer(config), report: newReport(config), callVerdicts: make(map[string]Verdict)}
	r.balancer.probeAll(ctx)
	probeCtx, stop := context.WithCancel(ctx)
	defer stop()
	go r.balancer.probePeriodically(probeCtx)
	r.sendAll(ctx)
	if err = r.checkRunCounts(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	r.report.summarize()
	return r.report, nil
}

// sendAll sends every request at its arrival time, regardless of whether earlier requests have been answered, and then
// waits for all of them.
func (r *loadRun) sendAll(ctx context.Context) {
	arrivals := newSchedule(r.config, rand.Text()[:runIDLength])
	var inFlight sync.WaitGroup
	defer inFlight.Wait()
	start := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		arrival, ok := arrivals.next()
		if !ok {
			return
		}
		intended := start.Add(arrival.Offset)
		timer.Reset(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		c := &caller{config: r.config, target: r.balancer.choose(), arrival: arrival, intended: intended}
		inFlight.Go(func() { r.add(arrival, c.call(context.WithoutCancel(ctx))) })
	}
}

func (r *loadRun) add(arrival Arrival, res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(arrival, res)
	if arrival.Kind == Plain {
		r.callVerdicts[arrival.CallID] = res.verdict
	}
}

// checkRunCounts compares the number of times each plain call ran at the services with the verdict of its caller.
func (r *loadRun) checkRunCounts(ctx context.Context) (err error) {
	if len(r.config.Services) == 0 {
		return nil
	}
	runs := make(map[string]int)
	for _, address := range r.config.Services {
		if err = addRunCounts(ctx, address, runs); err != nil {
			return err
		}
	}
	for call, verdict := range r.callVerdicts {
		r.report.CheckedCalls++
		if problem := runMismatch(verdict, runs[call]); problem != "" {
			r.report.RunMismatches++
			r.report.addProblem(fmt.Sprintf("call %s: %s", call, problem))
		}
	}
	return nil
}

// runMismatch describes how the number of runs contradicts the verdict; it returns "" if they agree.
func runMismatch(verdict Verdict, runs int) string {
	minRuns, maxRuns := 0, 1
	switch verdict {
	case Done:
		minRuns = 1
	case NotRun, Unreachable:
		maxRuns = 0
	default:
	}
	if runs < minRuns || runs > maxRuns {
		return fmt.Sprintf("ran %d times, but the verdict of its caller is %q", runs, verdict)
	}
	return ""
}

// addRunCounts adds the run counts of the service at the address to runs, which is indexed by call id.
func addRunCounts(ctx context.Context, address string, runs map[string]int) (err error) {
	defer errors.DeferredAnnotatef(&err, "count runs at %s", address)
	ctx, cancel := context.WithTimeout(ctx, runCountsTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/runs", nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	var counts map[string]int
	if err = json.NewDecoder(response.Body).Decode(&counts); err != nil {
		return err
	}
	for call, count := range counts {
		runs[call] += count
	}
	return nil
}
