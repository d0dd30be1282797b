package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
)

// Length of a run of the chain experiment and its requests.
const (
	chainWarmUp     = 20 * time.Second
	chainTime       = 60 * time.Second
	meanTokens      = 40
	millisPerSecond = 1e3
)

// chainCase is one case of the chain experiment.
type chainCase struct {
	shape     shape
	kind      policyKind
	instances int
	load      float64
}

func (c chainCase) name() string {
	return fmt.Sprintf("%s ranges, %d instances, load %.2f, %s", c.shape.name, c.instances, c.load, c.kind.name)
}

// chainPolicies are the baselines and the picker with its variants.
var chainPolicies = []policyKind{
	{name: "random", make: randomPolicy},
	{name: "round robin", make: roundRobinPolicy},
	{name: "least reported load", make: leastLoadPolicy},
	{name: "least cost by report", make: leastCostPolicy},
	{name: "picker", make: pickerPolicy(8, all)},
	{name: "picker, 3 samples", make: pickerPolicy(3, all)},
	{name: "picker, every server", make: pickerPolicy(poolWorkers, all)},
	{name: "picker, own requests only", make: pickerPolicy(8, alone)},
}

// chains measures the choice of chains.
func chains(seed int64, runs int) (report *Report) {
	report = &Report{Name: "chain", Seed: seed, Runs: runs}
	for _, s := range shapes {
		for _, instances := range []int{1, 3, 9} {
			for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
				for _, kind := range chainPolicies {
					c := chainCase{shape: s, kind: kind, instances: instances, load: load}
					report.Rows = append(report.Rows, summarize(c.name(), eachSeed(seed, runs, c.run)))
				}
			}
		}
	}
	return report
}

// eachSeed runs the case once for each seed, all at the same time.
func eachSeed(seed int64, runs int, run func(seed int64) []sample) [][]sample {
	samples := make([][]sample, runs)
	done := make(chan struct{})
	for i := range runs {
		go func() {
			samples[i] = run(seed + int64(i))
			done <- struct{}{}
		}()
	}
	for range runs {
		<-done
	}
	return samples
}

// run simulates one seed.
func (c chainCase) run(seed int64) []sample {
	source := rand.New(rand.NewSource(seed))
	timer := new(clock)
	pool := newPool(timer, source, c.shape)
	policies := make([]policy, c.instances)
	for i := range policies {
		policies[i] = c.kind.make(timer, rand.New(rand.NewSource(seed*1000+int64(i))), c.instances)
		policies[i].update(pool.servers)
	}
	timer.every(reportPeriod, func() {
		pool.report(func(servers []chain.Server) {
			for _, p := range policies {
				p.update(servers)
			}
		})
	})
	tokens := 0
	var perToken []float64
	bound := pool.bound()
	arrive(timer, source, c.load*bound/meanTokens, func() {
		chosen := policies[source.Intn(len(policies))]
		plan, ok := chosen.choose(chain.Request{})
		if !ok {
			return
		}
		chosen.started(plan)
		begun, length := timer.now, 1+int(source.ExpFloat64()*(meanTokens-1))
		count := func() {
			if timer.now > chainWarmUp {
				tokens++
			}
		}
		pool.answer(plan, length, count, func() {
			chosen.finished(plan)
			if timer.now > chainWarmUp {
				perToken = append(perToken, (timer.now-begun).Seconds()/float64(length)*millisPerSecond)
			}
		})
	})
	timer.runUntil(chainTime)
	return []sample{
		{name: "share of bound", value: float64(tokens) / (chainTime - chainWarmUp).Seconds() / bound},
		{name: "ms/token p50", value: quantile(perToken, 0.50)},
		{name: "p95", value: quantile(perToken, 0.95)},
		{name: "p99", value: quantile(perToken, 0.99)},
	}
}

// arrive runs the step at random times, at the mean rate in a second.
func arrive(timer *clock, source *rand.Rand, rate float64, step func()) {
	timer.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), func() {
		step()
		arrive(timer, source, rate, step)
	})
}
