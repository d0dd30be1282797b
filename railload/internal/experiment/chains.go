package experiment

import (
	"fmt"
	"math/rand"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
)

// Parameters of the chain experiment.
const (
	chainWarmUp   = 20 * time.Second
	chainDuration = 60 * time.Second
)

// Parameters that the experiments share.
const (
	meanTokens      = 40 // mean number of tokens of an answer
	millisPerSecond = 1e3
)

// chainCase is one case of the chain experiment.
type chainCase struct {
	layout    layerLayout
	kind      policyKind
	instances int
	load      float64
}

func (c chainCase) name() string {
	return fmt.Sprintf("%s ranges, %d instances, load %.2f, %s", c.layout.name, c.instances, c.load, c.kind.name)
}

// chainPolicies are the baseline policies, the picker and variants of the picker.
var chainPolicies = []policyKind{
	{name: "random", create: randomPolicy},
	{name: "round robin", create: roundRobinPolicy},
	{name: "least reported load", create: leastLoadPolicy},
	{name: "least cost by report", create: leastCostPolicy},
	{name: "picker", create: pickerPolicy(8, actualInstanceCount)},
	{name: "picker, 3 samples", create: pickerPolicy(3, actualInstanceCount)},
	{name: "picker, every server", create: pickerPolicy(poolEngines, actualInstanceCount)},
	{name: "picker, own requests only", create: pickerPolicy(8, singleInstanceCount)},
}

// chainExperiment compares policies for the choice of chains by throughput and latency.
func chainExperiment(seed int64, runs int) (report *Report) {
	report = &Report{Name: "chain", Seed: seed, Runs: runs}
	for _, layout := range layouts {
		for _, instances := range []int{1, 3, 9} {
			for _, load := range []float64{0.5, 0.8, 0.95, 1.2} {
				for _, kind := range chainPolicies {
					c := chainCase{layout: layout, kind: kind, instances: instances, load: load}
					report.Rows = append(report.Rows, summarize(c.name(), eachSeed(seed, runs, c.run)))
				}
			}
		}
	}
	return report
}

// eachSeed runs the case concurrently with each of the consecutive seeds and returns the values of the figures in the
// order of the seeds.
func eachSeed(seed int64, runs int, run func(seed int64) []figureValue) [][]figureValue {
	values := make([][]figureValue, runs)
	done := make(chan struct{})
	for i := range runs {
		go func() {
			values[i] = run(seed + int64(i))
			done <- struct{}{}
		}()
	}
	for range runs {
		<-done
	}
	return values
}

// run simulates the case with one seed.
func (c chainCase) run(seed int64) []figureValue {
	source := rand.New(rand.NewSource(seed))
	virtualClock := new(clock)
	pool := newPool(virtualClock, source, c.layout)
	policies := make([]policy, c.instances)
	for i := range policies {
		policies[i] = c.kind.create(virtualClock, rand.New(rand.NewSource(seed*1000+int64(i))), c.instances)
		policies[i].update(pool.servers)
	}
	virtualClock.every(reportPeriod, func() {
		pool.report(func(servers []chain.Server) {
			for _, p := range policies {
				p.update(servers)
			}
		})
	})
	tokens := 0
	var perToken []float64
	bound := pool.maxTokenRate()
	arrive(virtualClock, source, c.load*bound/meanTokens, func() {
		chosen := policies[source.Intn(len(policies))]
		picked, ok := chosen.choose(chain.Request{})
		if !ok {
			return
		}
		chosen.started(picked)
		start, answerTokens := virtualClock.now, 1+int(source.ExpFloat64()*(meanTokens-1))
		onToken := func() {
			if virtualClock.now > chainWarmUp {
				tokens++
			}
		}
		pool.generate(picked, answerTokens, onToken, func() {
			chosen.ended(picked)
			if virtualClock.now > chainWarmUp {
				perToken = append(perToken, (virtualClock.now-start).Seconds()/float64(answerTokens)*millisPerSecond)
			}
		})
	})
	virtualClock.runUntil(chainDuration)
	return []figureValue{
		{name: "share of bound", value: float64(tokens) / (chainDuration - chainWarmUp).Seconds() / bound},
		{name: "ms/token p50", value: quantile(perToken, 0.50)},
		{name: "p95", value: quantile(perToken, 0.95)},
		{name: "p99", value: quantile(perToken, 0.99)},
	}
}

// arrive calls step at the times of a Poisson process with the given mean rate per second.
func arrive(virtualClock *clock, source *rand.Rand, rate float64, step func()) {
	virtualClock.after(time.Duration(source.ExpFloat64()/rate*float64(time.Second)), func() {
		step()
		arrive(virtualClock, source, rate, step)
	})
}
