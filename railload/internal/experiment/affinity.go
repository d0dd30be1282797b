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

// Shape of the affinity experiment.
const (
	prefixes        = 400
	prefixSkew      = 1.1
	cachedPrefixes  = 40
	prefillSteps    = 12
	reportedEvents  = 64
	lostEvents      = 0.2
	affinityNodes   = 6
	affinityTime    = 60 * time.Second
	affinityWarmUp  = 20 * time.Second
	affinitySamples = 8
)

// prefixCache holds the prefixes that an engine used last.
type prefixCache struct {
	held   []uint64
	events []engine.CacheEvent
	number uint64
}

// touch reports whether the prefix was held, and makes it the last one used.
func (c *prefixCache) touch(prefix uint64) (hit bool) {
	if i := slices.Index(c.held, prefix); i >= 0 {
		c.held = append(slices.Delete(c.held, i, i+1), prefix)
		return true
	}
	if len(c.held) == cachedPrefixes {
		c.note(c.held[0], true)
		c.held = c.held[1:]
	}
	c.held = append(c.held, prefix)
	c.note(prefix, false)
	return false
}

func (c *prefixCache) note(prefix uint64, evicted bool) {
	c.number++
	c.events = append(c.events, engine.CacheEvent{Sequence: c.number, Prefix: prefix, Evicted: evicted})
	if len(c.events) > reportedEvents {
		c.events = c.events[1:]
	}
}

// affinityKind is a way to choose with a prefix.
type affinityKind struct {
	name   string
	hidden bool
	make   func(*clock, *rand.Rand, int) policy
}

var affinityKinds = []affinityKind{
	{name: "random", make: randomPolicy},
	{name: "picker without prefix", hidden: true, make: pickerPolicy(affinitySamples, all)},
	{name: "hash without bound", make: hashPolicy},
	{name: "picker with prefix", make: pickerPolicy(affinitySamples, all)},
}

// hashPolicy sends each prefix to the servers that rank highest for it, whatever their load.
func hashPolicy(*clock, *rand.Rand, int) policy {
	var prefix uint64
	chosen := stagePolicy(func(offered []chain.Server) int {
		best, most := 0, uint64(0)
		for i, server := range offered {
			digest := fnv.New64a()
			_, _ = fmt.Fprintf(digest, "%s/%d", server.Name, prefix)
			if score := digest.Sum64(); score > most {
				best, most = i, score
			}
		}
		return best
	})
	choose := chosen.choose
	chosen.choose = func(request chain.Request) (chain.Plan, bool) {
		prefix = request.Prefix
		return choose(request)
	}
	return chosen
}

// affinity measures how often a prefix is cached where its request goes, and at what price.
func affinity(seed int64, runs int) (report *Report) {
	report = &Report{Name: "affinity", Seed: seed, Runs: runs}
	for _, load := range []float64{0.4, 0.6, 0.8} {
		for _, kind := range affinityKinds {
			report.Rows = append(report.Rows, affinityRow(seed, runs, load, kind, false))
		}
	}
	for _, kind := range affinityKinds {
		report.Rows = append(report.Rows, affinityRow(seed, runs, 0.5, kind, true))
	}
	return report
}

// affinityRow measures one way; unique makes every prefix a new one, so that affinity cannot gain.
func affinityRow(seed int64, runs int, load float64, kind affinityKind, unique bool) Row {
	name := fmt.Sprintf("load %.1f, %s", load, kind.name)
	if unique {
		name += ", each prefix once"
	}
	return summarize(name, eachSeed(seed, runs, func(seed int64) []sample { return affinityRun(seed, load, kind, unique) }))
}

// affinityPool is a pool whose engines cache prefixes.
type affinityPool struct {
	*simulatedPool
	source *rand.Rand
	caches map[string]*prefixCache
	work   map[string]float64
	hits   float64
	visits float64
}

// prefill runs the prompt at each stage that does not hold the prefix, stage after stage, and then calls done.
func (p *affinityPool) prefill(plan chain.Plan, prefix uint64, done func()) {
	var next func(stage, left int)
	next = func(stage, left int) {
		if left > 0 {
			p.work[plan.Hops[stage].Server]++
			p.workers[plan.Hops[stage].Server].submit(func() { next(stage, left-1) })
			return
		}
		if stage++; stage == len(plan.Hops) {
			done()
			return
		}
		next(stage, p.visit(plan.Hops[stage].Server, prefix))
	}
	next(0, p.visit(plan.Hops[0].Server, prefix))
}

// visit returns the number of steps of the prompt that the stage has to run.
func (p *affinityPool) visit(server string, prefix uint64) int {
	p.visits++
	if p.caches[server].touch(prefix) {
		p.hits++
		return 0
	}
	return prefillSteps
}

// events returns the cache events that an engine reports, of which some are lost.
func (p *affinityPool) events(server string) (reported []engine.CacheEvent) {
	for _, event := range p.caches[server].events {
		if p.source.Float64() >= lostEvents {
			reported = append(reported, event)
		}
	}
	return reported
}

// reportTo reports loads and cache events to the policies.
func (p *affinityPool) reportTo(policies []policy) {
	for i := range p.servers {
		p.servers[i].Status.Cache = p.events(p.servers[i].Name)
	}
	p.report(func(servers []chain.Server) {
		for _, told := range policies {
			told.update(servers)
		}
	})
}

// imbalance returns the greatest share of its time that a server was busy, relative to the mean.
func (p *affinityPool) imbalance() float64 {
	most, sum := 0.0, 0.0
	for name, work := range p.work {
		busy := work / p.workers[name].rate()
		most = max(most, busy)
		sum += busy
	}
	return most / (sum / float64(len(p.workers)))
}

// affinityRun simulates one seed.
func affinityRun(seed int64, load float64, kind affinityKind, unique bool) []sample {
	source, timer := rand.New(rand.NewSource(seed)), new(clock)
	pool := &affinityPool{
		simulatedPool: newPool(timer, source, shapes[0]), source: rand.New(rand.NewSource(seed + 1)),
		caches: map[string]*prefixCache{}, work: map[string]float64{},
	}
	for _, server := range pool.servers {
		pool.caches[server.Name] = new(prefixCache)
	}
	policies := make([]policy, affinityNodes)
	for i := range policies {
		policies[i] = kind.make(timer, rand.New(rand.NewSource(seed*1000+int64(i))), affinityNodes)
		policies[i].update(pool.servers)
	}
	timer.every(reportPeriod, func() { pool.reportTo(policies) })
	popular := rand.NewZipf(source, prefixSkew, 1, prefixes-1)
	var first, perToken []float64
	arrive(timer, source, load*pool.bound()/meanTokens, func() {
		chosen := policies[source.Intn(len(policies))]
		prefix := popular.Uint64() + 1
		if unique {
			prefix = source.Uint64() | 1
		}
		request := chain.Request{Prefix: prefix}
		if kind.hidden {
			request.Prefix = 0
		}
		plan, ok := chosen.choose(request)
		if !ok {
			return
		}
		chosen.started(plan)
		begun, length := timer.now, 1+int(source.ExpFloat64()*(meanTokens-1))
		seen := false
		count := func() {
			for _, hop := range plan.Hops {
				pool.work[hop.Server]++
			}
			if !seen && timer.now > affinityWarmUp {
				first = append(first, (timer.now-begun).Seconds()*millisPerSecond)
			}
			seen = true
		}
		pool.prefill(plan, prefix, func() {
			pool.answer(plan, length, count, func() {
				chosen.finished(plan)
				if timer.now > affinityWarmUp {
					perToken = append(perToken, (timer.now-begun).Seconds()/float64(length)*millisPerSecond)
				}
			})
		})
	})
	timer.runUntil(affinityTime)
	return []sample{
		{name: "hit rate", value: pool.hits / pool.visits},
		{name: "busiest/mean", value: pool.imbalance()},
		{name: "first token ms p50", value: quantile(first, 0.5)},
		{name: "p95", value: quantile(first, 0.95)},
		{name: "ms/token p50", value: quantile(perToken, 0.5)},
		{name: "p95", value: quantile(perToken, 0.95)},
	}
}
