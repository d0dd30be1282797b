package experiment

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/chain"
	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Parameters of the affinity experiment.
const (
	prefixCount           = 400
	prefixSkew            = 1.1 // exponent of the Zipf distribution of the prefixes
	maxCachedPrefixes     = 40
	prefillActivations    = 12
	maxReportedEvents     = 64
	lostEventRatio        = 0.2 // fraction of cache events that a report lacks
	affinityInstances     = 6
	affinityDuration      = 60 * time.Second
	affinityWarmUp        = 20 * time.Second
	affinityPickerSamples = 8
)

// prefixCache is the LRU cache of prompt prefixes of one engine, with its newest events.
type prefixCache struct {
	// prefixes holds the least recently used prefix first.
	prefixes     []uint64
	events       []engine.CacheEvent
	lastSequence uint64
}

// lookUpOrAdd reports whether the prefix was cached, and makes it the most recently used one. It adds a missing prefix and,
// if the cache is full, evicts the least recently used one.
func (c *prefixCache) lookUpOrAdd(prefix uint64) (hit bool) {
	if i := slices.Index(c.prefixes, prefix); i >= 0 {
		c.prefixes = append(slices.Delete(c.prefixes, i, i+1), prefix)
		return true
	}
	if len(c.prefixes) == maxCachedPrefixes {
		c.addEvent(c.prefixes[0], true)
		c.prefixes = c.prefixes[1:]
	}
	c.prefixes = append(c.prefixes, prefix)
	c.addEvent(prefix, false)
	return false
}

func (c *prefixCache) addEvent(prefix uint64, evicted bool) {
	c.lastSequence++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.lastSequence, Prefix: prefix, Evicted: evicted})
	if len(c.events) > maxReportedEvents {
		c.events = c.events[1:]
	}
}

// affinityPolicy is a named kind of policy. If hidePrefix is set, the requests passed to the policy have no prefix.
type affinityPolicy struct {
	name       string
	hidePrefix bool
	create     func(*clock, *rand.Rand, int) policy
}

var affinityPolicies = []affinityPolicy{
	{name: "random", create: randomPolicy},
	{name: "picker without prefix", hidePrefix: true, create: pickerPolicy(affinityPickerSamples, actualInstanceCount)},
	{name: "hash without bound", create: hashPolicy},
	{name: "picker with prefix", create: pickerPolicy(affinityPickerSamples, actualInstanceCount)},
}

// hashPolicy sends each prefix to the servers with the highest rendezvous hash for it, regardless of their load.
func hashPolicy(*clock, *rand.Rand, int) policy {
	var prefix uint64
	chosen := stagePolicy(func(candidates []chain.Server) int {
		best, bestScore := 0, uint64(0)
		for i, server := range candidates {
			digest := fnv.New64a()
			_, _ = fmt.Fprintf(digest, "%s/%d", server.Name, prefix)
			if score := digest.Sum64(); score > bestScore {
				best, bestScore = i, score
			}
		}
		return best
	})
	choose := chosen.choose
	chosen.choose = func(request chain.Request) (chain.Chain, bool) {
		prefix = request.Prefix
		return choose(request)
	}
	return chosen
}

// affinityExperiment compares policies by their hit rate in the prefix caches, and by the imbalance of load and the
// latency that result. Its last cases use each prefix only once.
func affinityExperiment(seed int64, runs int) (report *Report) {
	report = &Report{Name: "affinity", Seed: seed, Runs: runs}
	for _, load := range []float64{0.4, 0.6, 0.8} {
		for _, kind := range affinityPolicies {
			report.Rows = append(report.Rows, affinityRow(seed, runs, load, kind, false))
		}
	}
	for _, kind := range affinityPolicies {
		report.Rows = append(report.Rows, affinityRow(seed, runs, 0.5, kind, true))
	}
	return report
}

// affinityRow simulates one policy at one load. If unique is set, each prefix occurs only once, so that affinity has no
// benefit.
func affinityRow(seed int64, runs int, load float64, kind affinityPolicy, unique bool) Row {
	name := fmt.Sprintf("load %.1f, %s", load, kind.name)
	if unique {
		name += ", each prefix once"
	}
	return summarize(name, eachSeed(seed, runs, func(seed int64) []figureValue { return affinityRun(seed, load, kind, unique) }))
}

// affinityPool is a simulated pool whose engines cache prefixes.
type affinityPool struct {
	*simulatedPool
	source *rand.Rand
	caches map[string]*prefixCache
	// activations is the number of activations of each engine, those of prefill included.
	activations map[string]float64
	hits        float64
	lookups     float64
}

// prefill runs the prompt at each stage that does not have the prefix in its cache, one stage after another, and then
// calls done.
func (p *affinityPool) prefill(picked chain.Chain, prefix uint64, done func()) {
	var runActivation func(stage, activationsLeft int)
	runActivation = func(stage, activationsLeft int) {
		if activationsLeft > 0 {
			p.activations[picked.Stages[stage].Server]++
			p.engines[picked.Stages[stage].Server].submit(func() { runActivation(stage, activationsLeft-1) })
			return
		}
		if stage++; stage == len(picked.Stages) {
			done()
			return
		}
		runActivation(stage, p.lookUp(picked.Stages[stage].Server, prefix))
	}
	runActivation(0, p.lookUp(picked.Stages[0].Server, prefix))
}

// lookUp looks up the prefix in the cache of the server and returns the number of activations that the server must run to
// prefill it: none for a hit.
func (p *affinityPool) lookUp(server string, prefix uint64) int {
	p.lookups++
	if p.caches[server].lookUpOrAdd(prefix) {
		p.hits++
		return 0
	}
	return prefillActivations
}

// reportedEvents returns the cache events that an engine reports, without those that are lost at random.
func (p *affinityPool) reportedEvents(server string) (reported []engine.CacheEvent) {
	for _, event := range p.caches[server].events {
		if p.source.Float64() >= lostEventRatio {
			reported = append(reported, event)
		}
	}
	return reported
}

// reportTo reports the load and the cache events of every engine to the policies.
func (p *affinityPool) reportTo(policies []policy) {
	for i := range p.servers {
		p.servers[i].Status.Cache = p.reportedEvents(p.servers[i].Name)
	}
	p.report(func(servers []chain.Server) {
		for _, recipient := range policies {
			recipient.update(servers)
		}
	})
}

// imbalance returns the busy time of the busiest engine as a multiple of the mean over all engines.
func (p *affinityPool) imbalance() float64 {
	maxBusy, sum := 0.0, 0.0
	for name, activations := range p.activations {
		busy := activations / p.engines[name].maxRate()
		maxBusy = max(maxBusy, busy)
		sum += busy
	}
	return maxBusy / (sum / float64(len(p.engines)))
}

// affinityRun simulates one case with one seed.
func affinityRun(seed int64, load float64, kind affinityPolicy, unique bool) []figureValue {
	source, virtualClock := rand.New(rand.NewSource(seed)), new(clock)
	pool := &affinityPool{
		simulatedPool: newPool(virtualClock, source, layouts[0]), source: rand.New(rand.NewSource(seed + 1)),
		caches: map[string]*prefixCache{}, activations: map[string]float64{},
	}
	for _, server := range pool.servers {
		pool.caches[server.Name] = new(prefixCache)
	}
	policies := make([]policy, affinityInstances)
	for i := range policies {
		policies[i] = kind.create(virtualClock, rand.New(rand.NewSource(seed*1000+int64(i))), affinityInstances)
		policies[i].update(pool.servers)
	}
	virtualClock.every(reportPeriod, func() { pool.reportTo(policies) })
	zipf := rand.NewZipf(source, prefixSkew, 1, prefixCount-1)
	var firstToken, perToken []float64
	arrive(virtualClock, source, load*pool.maxTokenRate()/meanTokens, func() {
		chosen := policies[source.Intn(len(policies))]
		prefix := zipf.Uint64() + 1
		if unique {
			prefix = source.Uint64() | 1
		}
		request := chain.Request{Prefix: prefix}
		if kind.hidePrefix {
			request.Prefix = 0
		}
		picked, ok := chosen.choose(request)
		if !ok {
			return
		}
		chosen.started(picked)
		start, answerTokens := virtualClock.now, 1+int(source.ExpFloat64()*(meanTokens-1))
		firstTokenSeen := false
		onToken := func() {
			for _, stage := range picked.Stages {
				pool.activations[stage.Server]++
			}
			if !firstTokenSeen && virtualClock.now > affinityWarmUp {
				firstToken = append(firstToken, (virtualClock.now-start).Seconds()*millisPerSecond)
			}
			firstTokenSeen = true
		}
		pool.prefill(picked, prefix, func() {
			pool.generate(picked, answerTokens, onToken, func() {
				chosen.ended(picked)
				if virtualClock.now > affinityWarmUp {
					perToken = append(perToken, (virtualClock.now-start).Seconds()/float64(answerTokens)*millisPerSecond)
				}
			})
		})
	})
	virtualClock.runUntil(affinityDuration)
	return []figureValue{
		{name: "hit rate", value: pool.hits / pool.lookups},
		{name: "busiest/mean", value: pool.imbalance()},
		{name: "first token ms p50", value: quantile(firstToken, 0.5)},
		{name: "p95", value: quantile(firstToken, 0.95)},
		{name: "ms/token p50", value: quantile(perToken, 0.5)},
		{name: "p95", value: quantile(perToken, 0.95)},
	}
}
