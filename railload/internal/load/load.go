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

// runLetters is the number of letters of the id that tells runs apart.
const runLetters = 8

// countTimeout is the longest time to read the counts of runs from a service.
const countTimeout = 10 * time.Second

// run is the state of one run.
type run struct {
	config   Config
	balancer *balancer

	mu     sync.Mutex
	report *Report
	calls  map[string]Verdict
}

// Run sends the requests, waits for every answer and returns what the callers saw.
func Run(ctx context.Context, config Config) (report *Report, err error) {
	defer errors.DeferredAnnotatef(&err, "load")
	if err = config.check(); err != nil {
		return nil, err
	}
	r := &run{config: config, balancer: newBalancer(config), report: newReport(config), calls: make(map[string]Verdict)}
	r.balancer.check(ctx)
	watching, stop := context.WithCancel(ctx)
	defer stop()
	go r.balancer.watch(watching)
	r.send(ctx)
	if err = r.count(context.WithoutCancel(ctx)); err != nil {
		return nil, err
	}
	r.report.summarise()
	return r.report, nil
}

// send starts every request at its time, whether earlier ones are answered or not, and waits for all.
func (r *run) send(ctx context.Context) {
	arrivals := newSchedule(r.config, rand.Text()[:runLetters])
	var waiting sync.WaitGroup
	defer waiting.Wait()
	begin := time.Now()
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		arrival, more := arrivals.next()
		if !more {
			return
		}
		intended := begin.Add(arrival.Offset)
		timer.Reset(time.Until(intended))
		select {
		case <-timer.C:
		case <-ctx.Done():
			return
		}
		one := &caller{config: r.config, target: r.balancer.choose(), arrival: arrival, intended: intended}
		waiting.Go(func() { r.add(arrival, one.call(context.WithoutCancel(ctx))) })
	}
}

func (r *run) add(arrival Arrival, seen result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.report.add(arrival, seen)
	if arrival.Kind == Plain {
		r.calls[arrival.CallID] = seen.verdict
	}
}

// count compares how often each plain call ran at the services with what its caller was told.
func (r *run) count(ctx context.Context) (err error) {
	if len(r.config.Services) == 0 {
		return nil
	}
	runs := make(map[string]int)
	for _, address := range r.config.Services {
		if err = addRuns(ctx, address, runs); err != nil {
			return err
		}
	}
	for call, verdict := range r.calls {
		r.report.CheckedRuns++
		if problem := misrun(verdict, runs[call]); problem != "" {
			r.report.RunMismatches++
			r.report.problem(fmt.Sprintf("call %s: %s", call, problem))
		}
	}
	return nil
}

// misrun says how the number of runs contradicts the verdict, or nothing.
func misrun(verdict Verdict, runs int) string {
	least, most := 0, 1
	switch verdict {
	case Done:
		least = 1
	case NotRun, Refused:
		most = 0
	default:
	}
	if runs < least || runs > most {
		return fmt.Sprintf("ran %d times, but its caller saw %q", runs, verdict)
	}
	return ""
}

// addRuns adds the counts of runs of one service.
func addRuns(ctx context.Context, address string, runs map[string]int) (err error) {
	defer errors.DeferredAnnotatef(&err, "count runs at %s", address)
	ctx, cancel := context.WithTimeout(ctx, countTimeout)
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
	var counted map[string]int
	if err = json.NewDecoder(response.Body).Decode(&counted); err != nil {
		return err
	}
	for call, count := range counted {
		runs[call] += count
	}
	return nil
}
