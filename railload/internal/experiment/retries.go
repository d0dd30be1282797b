package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Parameters of the retry experiment.
const (
	retrySlots       = 80
	retryServiceTime = 100 * time.Millisecond // mean of an exponential distribution
	retryLoad        = 0.7                    // load as a fraction of the capacity
	retryTimeout     = time.Second
	retryDeadline    = 3 * time.Second
	maxRetries       = 3
	degradationStart = 20 * time.Second
	degradationEnd   = 40 * time.Second
	retryDuration    = 70 * time.Second
)

// retryPolicy is a named way to limit retries. The function create returns allow, which reports whether one more retry is
// allowed, and succeeded, which records a successful call.
type retryPolicy struct {
	name   string
	create func(c *clock) (allow func() bool, succeeded func())
}

var retryPolicies = []retryPolicy{
	{name: "no retries", create: func(*clock) (func() bool, func()) { return func() bool { return false }, func() {} }},
	{name: "retries without a bound", create: func(*clock) (func() bool, func()) { return func() bool { return true }, func() {} }},
	{name: "budget", create: func(c *clock) (func() bool, func()) {
		budget := retry.NewBudget(c.wallTime(), retry.BudgetConfig{})
		return func() bool { return budget.Allow(c.wallTime()) }, budget.Succeeded
	}},
}

// degradation is a partial degradation of a pool: a fraction of the calls fails, or calls take slowness times as long.
type degradation struct {
	name        string
	failureRate float64
	slowness    float64
}

var degradations = []degradation{
	{name: "2 in 100 calls fail", failureRate: 0.02, slowness: 1},
	{name: "half of the calls fail", failureRate: 0.5, slowness: 1},
	{name: "calls take 3 times as long", slowness: 3},
}

// retryExperiment compares the retry policies before, during and after a degradation.
func retryExperiment(seed int64, runs int) (report *Report) {
	report = &Report{Name: "retry", Seed: seed, Runs: runs}
	for _, d := range degradations {
		for _, kind := range retryPolicies {
			name := fmt.Sprintf("%s, %s", d.name, kind.name)
			row := summarize(name, eachSeed(seed, runs, func(seed int64) []figureValue { return retryRun(seed, d, kind) }))
			report.Rows = append(report.Rows, row)
		}
	}
	return report
}

// retryPool is a simulated pool whose callers retry failed calls.
type retryPool struct {
	clock       *clock
	source      *rand.Rand
	backend     *simulatedService
	degradation degradation
	allow       func() bool
	succeeded   func()
	// attempts is the number of attempts during the degradation.
	attempts float64
	// inTimeAnswers is the number of successes within the deadline in each second of the run.
	inTimeAnswers [retryDuration / time.Second]float64
}

// degraded reports whether the degradation is in progress.
func (p *retryPool) degraded() bool {
	return p.clock.now >= degradationStart && p.clock.now < degradationEnd
}

// send makes one attempt of a request that began at start. After a failure or a timeout it retries, up to retriesLeft
// times, if the deadline has not passed and the retry policy allows it.
func (p *retryPool) send(start time.Duration, retriesLeft int) {
	serviceTime, fails := p.source.ExpFloat64()*float64(retryServiceTime), false
	if p.degraded() {
		p.attempts++
		serviceTime *= p.degradation.slowness
		fails = p.source.Float64() < p.degradation.failureRate
	}
	ended := false
	retryAttempt := func() {
		if ended {
			return
		}
		ended = true
		if retriesLeft > 0 && p.clock.now-start < retryDeadline && p.allow() {
			p.send(start, retriesLeft-1)
		}
	}
	p.clock.after(retryTimeout, retryAttempt)
	p.backend.submit(call{serviceTime: time.Duration(serviceTime), done: func() {
		switch {
		case ended:
		case fails:
			retryAttempt()
		default:
			ended = true
			p.succeeded()
			if p.clock.now-start <= retryDeadline && p.clock.now < retryDuration {
				p.inTimeAnswers[p.clock.now/time.Second]++
			}
		}
	}})
}

// retryRun simulates one case with one seed.
func retryRun(seed int64, d degradation, kind retryPolicy) []figureValue {
	virtualClock := new(clock)
	source := rand.New(rand.NewSource(seed))
	pool := &retryPool{clock: virtualClock, source: source, backend: &simulatedService{clock: virtualClock, slots: retrySlots}, degradation: d}
	pool.allow, pool.succeeded = kind.create(virtualClock)
	rate := retryLoad * retrySlots / retryServiceTime.Seconds()
	sent := 0.0
	arrive(virtualClock, source, rate, func() {
		if pool.degraded() {
			sent++
		}
		pool.send(virtualClock.now, maxRetries)
	})
	virtualClock.runUntil(retryDuration)
	return []figureValue{
		{name: "good/s before", value: pool.mean(degradationStart/2, degradationStart)},
		{name: "during", value: pool.mean(degradationStart, degradationEnd)},
		{name: "after", value: pool.mean(degradationEnd, retryDuration)},
		{name: "attempts/request", value: pool.attempts / sent},
		{name: "recovery s", value: pool.recovery(rate)},
	}
}

// mean returns the mean number of answers within the deadline per second in the period.
func (p *retryPool) mean(from, to time.Duration) float64 {
	sum := 0.0
	for _, inTime := range p.inTimeAnswers[from/time.Second : to/time.Second] {
		sum += inTime
	}
	return sum / (to - from).Seconds()
}

// recovery returns the number of seconds from the end of the degradation to the first second in which the number of
// answers within the deadline is at least 90% of the rate of requests, or to the end of the run if there is none.
func (p *retryPool) recovery(rate float64) float64 {
	end := int(degradationEnd / time.Second)
	for second, inTime := range p.inTimeAnswers[end:] {
		if inTime >= 0.9*rate {
			return float64(second)
		}
	}
	return float64(len(p.inTimeAnswers) - end)
}
