package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Shape of the retry experiment.
const (
	retrySlots    = 80
	retryService  = 100 * time.Millisecond
	retryLoad     = 0.7
	retryTimeout  = time.Second
	retryDeadline = 3 * time.Second
	maxRetries    = 3
	brownoutBegin = 20 * time.Second
	brownoutEnd   = 40 * time.Second
	retryTime     = 70 * time.Second
)

// retryKind makes the function that allows retries.
type retryKind struct {
	name string
	make func(c *clock) (allow func() bool, succeeded func())
}

var retryKinds = []retryKind{
	{name: "no retries", make: func(*clock) (func() bool, func()) { return func() bool { return false }, func() {} }},
	{name: "retries without a bound", make: func(*clock) (func() bool, func()) { return func() bool { return true }, func() {} }},
	{name: "budget", make: func(c *clock) (func() bool, func()) {
		budget := retry.NewBudget(c.wall(), retry.BudgetConfig{})
		return func() bool { return budget.Allow(c.wall()) }, budget.Succeeded
	}},
}

// brownout is a way in which a pool is unwell.
type brownout struct {
	name     string
	failures float64
	slowness float64
}

var brownouts = []brownout{
	{name: "2 in 100 calls fail", failures: 0.02, slowness: 1},
	{name: "half of the calls fail", failures: 0.5, slowness: 1},
	{name: "calls take 3 times as long", slowness: 3},
}

// retries measures retries during and after a brown-out.
func retries(seed int64, runs int) (report *Report) {
	report = &Report{Name: "retry", Seed: seed, Runs: runs}
	for _, ill := range brownouts {
		for _, kind := range retryKinds {
			name := fmt.Sprintf("%s, %s", ill.name, kind.name)
			row := summarize(name, eachSeed(seed, runs, func(seed int64) []sample { return retryRun(seed, ill, kind) }))
			report.Rows = append(report.Rows, row)
		}
	}
	return report
}

// retryPool is a pool whose calls are retried.
type retryPool struct {
	clock     *clock
	source    *rand.Rand
	backend   *service
	ill       brownout
	allow     func() bool
	succeeded func()
	attempts  float64
	good      [retryTime / time.Second]float64
}

// sick reports whether the brown-out lasts.
func (p *retryPool) sick() bool { return p.clock.now >= brownoutBegin && p.clock.now < brownoutEnd }

// send makes one attempt and repeats it after a failure or a timeout if that is allowed.
func (p *retryPool) send(begun time.Duration, left int) {
	length, fails := p.source.ExpFloat64()*float64(retryService), false
	if p.sick() {
		p.attempts++
		length *= p.ill.slowness
		fails = p.source.Float64() < p.ill.failures
	}
	ended := false
	again := func() {
		if ended {
			return
		}
		ended = true
		if left > 0 && p.clock.now-begun < retryDeadline && p.allow() {
			p.send(begun, left-1)
		}
	}
	p.clock.after(retryTimeout, again)
	p.backend.submit(call{time: time.Duration(length), done: func() {
		switch {
		case ended:
		case fails:
			again()
		default:
			ended = true
			p.succeeded()
			if p.clock.now-begun <= retryDeadline && p.clock.now < retryTime {
				p.good[p.clock.now/time.Second]++
			}
		}
	}})
}

// retryRun simulates one seed.
func retryRun(seed int64, ill brownout, kind retryKind) []sample {
	timer := new(clock)
	source := rand.New(rand.NewSource(seed))
	pool := &retryPool{clock: timer, source: source, backend: &service{clock: timer, slots: retrySlots}, ill: ill}
	pool.allow, pool.succeeded = kind.make(timer)
	rate := retryLoad * retrySlots / retryService.Seconds()
	sent := 0.0
	arrive(timer, source, rate, func() {
		if pool.sick() {
			sent++
		}
		pool.send(timer.now, maxRetries)
	})
	timer.runUntil(retryTime)
	return []sample{
		{name: "good/s before", value: pool.mean(brownoutBegin/2, brownoutBegin)},
		{name: "during", value: pool.mean(brownoutBegin, brownoutEnd)},
		{name: "after", value: pool.mean(brownoutEnd, retryTime)},
		{name: "attempts/request", value: pool.attempts / sent},
		{name: "recovery s", value: pool.recovery(rate)},
	}
}

// mean returns the good answers in a second over the time.
func (p *retryPool) mean(from, to time.Duration) float64 {
	sum := 0.0
	for _, good := range p.good[from/time.Second : to/time.Second] {
		sum += good
	}
	return sum / (to - from).Seconds()
}

// recovery returns the seconds from the end of the brown-out to the first second with nine of ten answers good.
func (p *retryPool) recovery(rate float64) float64 {
	end := int(brownoutEnd / time.Second)
	for second, good := range p.good[end:] {
		if good >= 0.9*rate {
			return float64(second)
		}
	}
	return float64(len(p.good) - end)
}
