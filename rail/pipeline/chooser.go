package pipeline

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Stage is a range of layers in a chain and the engine that runs it.
type Stage struct {
	// Server is the engine.
	Server backend.Server
	// Layers is the range of layers that the engine runs.
	Layers backend.Range
}

// Chain is the chain of a request: stages that together run every layer once, in order.
type Chain []Stage

// Request describes a request for which a chain is chosen.
type Request struct {
	// PromptTokens is the number of tokens in the prompt.
	PromptTokens int
	// OutputTokens is the expected number of generated tokens.
	OutputTokens int
	// Zone is the availability zone of this instance.
	Zone string
	// Avoid lists the IDs of engines on which earlier attempts of the request failed.
	Avoid []string
	// FillLimit is the filled fraction of an engine's KV memory above which the engine does not get this request; zero
	// means MaxFill.
	FillLimit float64
}

// KVTokens returns the number of tokens that the request holds in the KV cache when it ends.
func (r Request) KVTokens() float64 { return float64(r.PromptTokens + r.OutputTokens) }

// fillLimit returns FillLimit, or MaxFill if it is zero.
func (r Request) fillLimit() float64 {
	if r.FillLimit > 0 {
		return r.FillLimit
	}
	return MaxFill
}

// Usage is the load on an engine, or on a link between two availability zones.
type Usage struct {
	// ReservedKV is the KV memory reserved for requests, in tokens times layers.
	ReservedKV float64
	// WorkRate is the work sent recently, in seconds of work per second.
	WorkRate float64
	// FailedRecently reports whether the engine failed, or did not respond to a probe, within failureReportTime and has
	// not recovered since.
	FailedRecently bool
	// Slowness is the time that work takes as a multiple of the usual time, as the engine reported it; zero means that
	// there is no report.
	Slowness float64
}

// Config configures a Chooser.
type Config struct {
	// Random draws numbers in [0, 1); nil means the global source.
	Random func() float64
	// PeerUsage returns the usage of an engine or a link by the other instances, and false if it is unknown; nil means
	// that there are no other instances.
	PeerUsage func(id string) (usage Usage, known bool)
}

// Costs and times that determine the choice.
const (
	// rateDecayTime is the time constant of the exponential decay of sent work.
	rateDecayTime = 2 * time.Second
	// maxUtilization caps the utilization of an engine in the computed delay, which tends to infinity at 1.
	maxUtilization = 0.95
	// costJitter is the largest fraction that is randomly added to a cost, so that instances with the same information choose
	// different engines.
	costJitter = 0.15
	// stageOverhead is the fixed cost of each stage.
	stageOverhead = time.Millisecond
	// suspectPenalty is added for each stage on a suspected engine. It exceeds the cost of any detour, including one over
	// saturated links.
	suspectPenalty = time.Hour
	// minWorkRate is the rate of work, in seconds per second, below which an engine counts as unused.
	minWorkRate = 0.001
	// meanPassesQueued is the mean wait of a request for an engine, in passes; an engine's cost contains it once, not
	// once for each token.
	meanPassesQueued = 0.5
)

// MaxFill is the filled fraction of an engine's KV memory above which the engine gets no more requests.
const MaxFill = 0.92

// resourceState is the state of one engine, or of one link between availability zones; for a link only the work is used.
type resourceState struct {
	decayedWork float64 // seconds of work sent, decayed to updatedAt
	updatedAt   time.Time
	reservedKV  float64 // tokens x layers
	health      health
	slowness    slownessState
}

// Chooser chooses chains of engines; it is not safe for concurrent use.
type Chooser struct {
	config        Config
	spec          *backend.EngineSpec
	servers       []backend.Server
	boundaries    []int // ascending layers at which the range of an engine begins or ends, with 0 and the number of layers
	states        map[string]*resourceState
	instanceCount int
	gapRatio      float64 // moving average of gaps between events as multiples of the expected gap
	kvUseRatio    float64 // ratio of the memory that requests use, times kvUseMargin, to the memory reserved for them
}

// New returns a Chooser without engines; Choose finds no chain before SetEngines is called.
func New(config Config) *Chooser {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.PeerUsage == nil {
		config.PeerUsage = func(string) (Usage, bool) { return Usage{}, true }
	}
	return &Chooser{config: config, states: make(map[string]*resourceState), instanceCount: 1, kvUseRatio: 1}
}

// SetEngines sets the specification of the engines, the engines, and the number of instances that send work to them. It
// leaves out engines that are draining, hold no valid range of layers or have an unknown card.
func (c *Chooser) SetEngines(spec *backend.EngineSpec, servers []backend.Server, instances int) {
	c.spec, c.instanceCount = spec, max(instances, 1)
	c.servers = c.servers[:0]
	listed := make(map[string]bool, len(servers))
	isBoundary := make([]bool, spec.Layers+1)
	isBoundary[0], isBoundary[spec.Layers] = true, true
	for _, server := range servers {
		if !spec.HasLayers(server.Layers) || server.Layers.Len() == 0 || server.Draining {
			continue
		}
		if _, ok := spec.Card(server.Card); !ok {
			continue
		}
		listed[server.ID] = true
		isBoundary[server.Layers.From], isBoundary[server.Layers.To] = true, true
		c.servers = append(c.servers, server)
	}
	c.boundaries = c.boundaries[:0]
	for layer, is := range isBoundary {
		if is {
			c.boundaries = append(c.boundaries, layer)
		}
	}
	// The states of engines that are not listed and of links are removed if they have no reserved memory and their work
	// rate was below minWorkRate when work was last added.
	for id, state := range c.states {
		if !listed[id] && state.reservedKV <= 0 && state.workRate(state.updatedAt) < minWorkRate {
			delete(c.states, id)
		}
	}
}

func (c *Chooser) state(id string) *resourceState {
	state := c.states[id]
	if state == nil {
		state = &resourceState{}
		c.states[id] = state
	}
	return state
}

// workRate returns the rate of the work that this instance sends to the engine or over the link, in seconds per second.
func (s *resourceState) workRate(now time.Time) float64 {
	if s.updatedAt.IsZero() {
		return 0
	}
	return s.decayedWork * math.Exp(-now.Sub(s.updatedAt).Seconds()/rateDecayTime.Seconds()) / rateDecayTime.Seconds()
}

func (s *resourceState) addWork(now time.Time, seconds float64) {
	s.decayedWork = s.workRate(now)*rateDecayTime.Seconds() + seconds
	s.updatedAt = now
}

// workTime returns the time that an engine with the card takes for the whole request over a number of layers.
func (c *Chooser) workTime(card backend.Card, layers int, request Request) (prefill, decode time.Duration) {
	spec, fraction := c.spec, float64(layers)/float64(c.spec.Layers)
	prefill = time.Duration(float64(request.PromptTokens) * float64(spec.PrefillTimePerToken) * card.PrefillFactor * fraction)
	context := float64(request.PromptTokens) + float64(request.OutputTokens)/2
	perToken := float64(spec.StepTimePerSequence)*card.PrefillFactor + context*float64(spec.StepTimePerContextToken)*card.DecodeFactor
	return prefill, time.Duration(float64(request.OutputTokens) * perToken * fraction)
}

// Started records that a request was sent along the chain: its work and the memory reserved for it.
func (c *Chooser) Started(now time.Time, chain Chain, request Request) {
	for _, stage := range chain {
		card, _ := c.spec.Card(stage.Server.Card)
		prefill, decode := c.workTime(card, stage.Layers.Len(), request)
		state := c.state(stage.Server.ID)
		state.addWork(now, (prefill + decode).Seconds())
		state.reservedKV += c.kvDemand(request, stage.Layers.Len())
		state.health.recordStart(now)
	}
	for i := 1; i < len(chain); i++ {
		if from, to := chain[i-1].Server.Zone, chain[i].Server.Zone; from != to {
			c.state(linkID(from, to)).addWork(now, c.transferSeconds(request))
		}
	}
}

// Ended releases the memory that Started reserved.
func (c *Chooser) Ended(chain Chain, request Request) {
	for _, stage := range chain {
		state := c.state(stage.Server.ID)
		state.reservedKV = max(state.reservedKV-c.kvDemand(request, stage.Layers.Len()), 0)
	}
}

// kvDemand returns the KV memory that the request takes on an engine, in tokens x layers.
func (c *Chooser) kvDemand(request Request, layers int) float64 {
	return request.KVTokens() * float64(layers)
}

// totalUsage returns the reserved memory and the work rate of an engine or a link over all instances. FailedRecently
// reports only what the other instances observed, and Slowness is not set. While the usage of the others is unknown, each
// of them is assumed to use as much as this instance.
func (c *Chooser) totalUsage(now time.Time, id string, state *resourceState) Usage {
	own := Usage{ReservedKV: state.reservedKV, WorkRate: state.workRate(now)}
	peerUsage, known := c.config.PeerUsage(id)
	if !known {
		return Usage{ReservedKV: own.ReservedKV * float64(c.instanceCount), WorkRate: own.WorkRate * float64(c.instanceCount)}
	}
	return Usage{ReservedKV: own.ReservedKV + peerUsage.ReservedKV, WorkRate: own.WorkRate + peerUsage.WorkRate, FailedRecently: peerUsage.FailedRecently}
}

// Usage returns this instance's usage of each engine, by ID, and of each link between availability zones. Unused engines
// and links are left out unless the engine failed recently or reported a slowness above 1.
func (c *Chooser) Usage(now time.Time) map[string]Usage {
	usages := make(map[string]Usage)
	for id, state := range c.states {
		usage := Usage{ReservedKV: state.reservedKV, WorkRate: state.workRate(now), FailedRecently: state.health.failedRecently(now)}
		if now.Sub(state.slowness.reportedAt) < reportTTL {
			usage.Slowness = state.slowness.reported
		}
		if usage.ReservedKV > 0 || usage.WorkRate > minWorkRate || usage.FailedRecently || usage.Slowness > 1 {
			usages[id] = usage
		}
	}
	return usages
}

// candidate is an engine with its cost for one request.
type candidate struct {
	server    backend.Server
	layerCost float64 // seconds per layer
	fixedCost float64 // seconds per stage
}

// fill returns the filled fraction of an engine's KV memory, and whether it has memory for the request.
func (c *Chooser) fill(server backend.Server, usage Usage, request Request) (fill float64, fits bool) {
	card, _ := c.spec.Card(server.Card)
	capacity := max(c.spec.KVCapacity(card, server.Layers.Len())*float64(server.Layers.Len()), 1)
	fill = usage.ReservedKV * c.kvUseRatio / capacity
	fits = fill <= request.fillLimit() && (fill <= 0 || fill+c.kvDemand(request, server.Layers.Len())/capacity <= 1)
	return fill, fits
}

// fullSpan returns the span of all layers.
func (c *Chooser) fullSpan() span { return span{to: c.spec.Layers} }

// Choose returns the chain with the lowest cost, and false if no chain of engines with enough memory covers the layers. If
// the chain uses an engine twice, the engine after the first of the two stages is excluded and the search runs again.
func (c *Chooser) Choose(now time.Time, request Request) (chain Chain, ok bool) {
	if c.spec == nil {
		return nil, false
	}
	excluded := make(map[string]bool, len(request.Avoid))
	for _, id := range request.Avoid {
		excluded[id] = true
	}
	for {
		chain, ok = c.search(now, c.candidates(now, request, excluded), request, c.fullSpan())
		if !ok {
			return nil, false
		}
		between, repeated := findRepeat(chain)
		if !repeated {
			return chain, true
		}
		excluded[between] = true
	}
}

// findRepeat looks for an engine that runs two stages of the chain, and returns the ID of the engine after the first of
// these stages; repeated is false if there is none.
func findRepeat(chain Chain) (between string, repeated bool) {
	for i := range chain {
		for j := i + 2; j < len(chain); j++ {
			if chain[i].Server.ID == chain[j].Server.ID {
				return chain[i+1].Server.ID, true
			}
		}
	}
	return "", false
}

// candidates returns the engines that are neither excluded nor dead and have memory for the request, with their costs. An
// engine without reserved memory accepts a request of any size.
func (c *Chooser) candidates(now time.Time, request Request, excluded map[string]bool) (found []candidate) {
	for _, server := range c.servers {
		state := c.state(server.ID)
		if excluded[server.ID] || state.health.isDead(now) {
			continue
		}
		card, _ := c.spec.Card(server.Card)
		usage := c.totalUsage(now, server.ID, state)
		fill, fits := c.fill(server, usage, request)
		if !fits {
			continue
		}
		slowness := c.slowness(now, server.ID)
		utilization := min(usage.WorkRate*slowness, maxUtilization)
		prefill, decode := c.workTime(card, server.Layers.Len(), request)
		passTime := float64(c.spec.StepTime) * card.DecodeFactor * float64(server.Layers.Len()) / float64(c.spec.Layers) * float64(c.spec.StepsPerPass)
		cost := (meanPassesQueued*passTime + float64(prefill+decode)) / float64(time.Second)
		cost *= 1 + costJitter*c.config.Random()
		cost *= slowness / ((1 - utilization) * (1 - fill))
		fixed := stageOverhead.Seconds()
		if state.health.isSuspected(now) || usage.FailedRecently && !state.health.progressedRecently(now) {
			fixed += suspectPenalty.Seconds()
		}
		found = append(found, candidate{server: server, layerCost: cost / float64(server.Layers.Len()), fixedCost: fixed})
	}
	return found
}
