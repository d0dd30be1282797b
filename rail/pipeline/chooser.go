package pipeline

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Stage is the part of a path that one engine runs.
type Stage struct {
	// Server is the engine.
	Server backend.Server
	// Layers is the range that it runs.
	Layers backend.Range
}

// Path lists stages that together run every layer once, in order.
type Path []Stage

// Request describes a request for which a path is chosen.
type Request struct {
	// PromptTokens is the number of tokens to read.
	PromptTokens int
	// OutputTokens is the expected number of tokens to write.
	OutputTokens int
	// Zone is the availability zone of the instance that chooses.
	Zone string
	// Avoid names engines that failed the request before.
	Avoid []string
	// FillLimit is the part of an engine's memory for requests up to which this one may fill it, zero for MaxFill.
	FillLimit float64
}

// KVTokens returns the number of tokens that the request keeps in memory at its end.
func (r Request) KVTokens() float64 { return float64(r.PromptTokens + r.OutputTokens) }

// Usage is the part of an engine that is taken.
type Usage struct {
	// ReservedKV is the memory promised to requests, in tokens times layers.
	ReservedKV float64
	// WorkRate is the work sent lately, in seconds a second.
	WorkRate float64
	// Suspect tells that the engine failed or fell silent just now.
	Suspect bool
	// Slowness is how many times the usual time the engine says that its work takes, zero if it has not been asked.
	Slowness float64
}

// Config configures a Chooser.
type Config struct {
	// Random draws numbers in [0, 1); nil takes the global source.
	Random func() float64
	// PeerUsage returns how much of an engine the other instances take, and false if nothing is known; nil means that there
	// are no others.
	PeerUsage func(id string) (use Usage, known bool)
}

// Weights and times of the choice.
const (
	// memory of the rate of work: work done this long ago counts by 1/e.
	rateMemory = 2 * time.Second
	// maxUse bounds the part of an engine's time that a delay is computed for.
	maxUse = 0.95
	// spreadNoise is the greatest part by which a cost is varied, so that instances with the same view part.
	spreadNoise = 0.15
	// hopCost is what one more stage costs.
	hopCost = time.Millisecond
	// suspectCost is what a path over a suspect costs more: more than any detour, over links that are full too.
	suspectCost = time.Hour
	// leastRate is the rate of work below which an engine counts as unused.
	leastRate = 0.001
	// passesAhead is the number of passes that a token waits for at a stage on average.
	passesAhead = 0.5
)

// MaxFill is the part of an engine's memory for requests that may be promised.
const MaxFill = 0.92

// load is what this instance knows of one engine.
type load struct {
	work   float64 // seconds of work sent, decaying
	at     time.Time
	tokens float64 // tokens x layers promised
	health health
	speed  speed
}

// Chooser chooses paths; it is not safe for concurrent use.
type Chooser struct {
	config  Config
	engine  *backend.EngineSpec
	servers []backend.Server
	bounds  []int
	loads   map[string]*load
	peers   int
	usual   float64 // pause between events as a multiple of the expected one
	use     float64 // part of the promised memory that requests use
}

// New returns a Chooser that knows no engines.
func New(config Config) *Chooser {
	if config.Random == nil {
		config.Random = rand.Float64
	}
	if config.PeerUsage == nil {
		config.PeerUsage = func(string) (Usage, bool) { return Usage{}, true }
	}
	return &Chooser{config: config, loads: make(map[string]*load), peers: 1, use: 1}
}

// SetFleet states the engines and the number of instances that send work to them.
func (c *Chooser) SetFleet(engine *backend.EngineSpec, servers []backend.Server, instances int) {
	c.engine, c.peers = engine, max(instances, 1)
	c.servers = c.servers[:0]
	known := make(map[string]bool, len(servers))
	boundary := make([]bool, engine.Layers+1)
	boundary[0], boundary[engine.Layers] = true, true
	for _, server := range servers {
		if server.Layers.Len() <= 0 || server.Layers.From < 0 || server.Layers.To > engine.Layers || server.Draining {
			continue
		}
		if _, ok := engine.Card(server.Card); !ok {
			continue
		}
		known[server.ID] = true
		boundary[server.Layers.From], boundary[server.Layers.To] = true, true
		c.servers = append(c.servers, server)
	}
	c.bounds = c.bounds[:0]
	for layer, is := range boundary {
		if is {
			c.bounds = append(c.bounds, layer)
		}
	}
	for id, held := range c.loads {
		if !known[id] && held.tokens <= 0 && held.rate(held.at) < leastRate {
			delete(c.loads, id)
		}
	}
}

func (c *Chooser) load(id string) *load {
	held := c.loads[id]
	if held == nil {
		held = &load{}
		c.loads[id] = held
	}
	return held
}

// rate returns the work in seconds a second that this instance sends to the engine.
func (l *load) rate(now time.Time) float64 {
	if l.at.IsZero() {
		return 0
	}
	return l.work * math.Exp(-now.Sub(l.at).Seconds()/rateMemory.Seconds()) / rateMemory.Seconds()
}

func (l *load) add(now time.Time, seconds float64) {
	l.work = l.rate(now)*rateMemory.Seconds() + seconds
	l.at = now
}

// work returns the engine's time for the whole request over a share of the layers.
func (c *Chooser) work(card backend.Card, layers int, request Request) (read, write time.Duration) {
	e, share := c.engine, float64(layers)/float64(c.engine.Layers)
	read = time.Duration(float64(request.PromptTokens) * float64(e.PerPromptToken) * card.PrefillFactor * share)
	context := float64(request.PromptTokens) + float64(request.OutputTokens)/2
	token := float64(e.PerSequence)*card.PrefillFactor + context*float64(e.PerContext)*card.DecodeFactor
	return read, time.Duration(float64(request.OutputTokens) * token * share)
}

// Started counts a request that was sent along the path.
func (c *Chooser) Started(now time.Time, path Path, request Request) {
	for _, stage := range path {
		card, _ := c.engine.Card(stage.Server.Card)
		read, write := c.work(card, stage.Layers.Len(), request)
		held := c.load(stage.Server.ID)
		held.add(now, (read + write).Seconds())
		held.tokens += c.need(request, stage.Layers.Len())
		held.health.started(now)
	}
	for i := 1; i < len(path); i++ {
		if from, to := path[i-1].Server.Zone, path[i].Server.Zone; from != to {
			c.load(pipeID(from, to)).add(now, c.transfer(request))
		}
	}
}

// Ended gives back what Started took.
func (c *Chooser) Ended(path Path, request Request) {
	for _, stage := range path {
		held := c.load(stage.Server.ID)
		held.tokens = max(held.tokens-c.need(request, stage.Layers.Len()), 0)
	}
}

// need returns the memory that the request takes in tokens x layers.
func (c *Chooser) need(request Request, layers int) float64 {
	return request.KVTokens() * float64(layers)
}

// taken returns how much of an engine all instances take; while nothing is known of the others they take as much each.
func (c *Chooser) taken(now time.Time, id string, held *load) Usage {
	own := Usage{ReservedKV: held.tokens, WorkRate: held.rate(now)}
	others, known := c.config.PeerUsage(id)
	if !known {
		return Usage{ReservedKV: own.ReservedKV * float64(c.peers), WorkRate: own.WorkRate * float64(c.peers)}
	}
	return Usage{ReservedKV: own.ReservedKV + others.ReservedKV, WorkRate: own.WorkRate + others.WorkRate, Suspect: others.Suspect}
}

// Usage returns how much of each engine this instance takes.
func (c *Chooser) Usage(now time.Time) map[string]Usage {
	uses := make(map[string]Usage)
	for id, held := range c.loads {
		use := Usage{ReservedKV: held.tokens, WorkRate: held.rate(now), Suspect: held.health.fresh(now)}
		if now.Sub(held.speed.reportedAt) < reportMemory {
			use.Slowness = held.speed.reported
		}
		if use.ReservedKV > 0 || use.WorkRate > leastRate || use.Suspect || use.Slowness > 1 {
			uses[id] = use
		}
	}
	return uses
}

// candidate is an engine with its price for one request.
type candidate struct {
	server   backend.Server
	perLayer float64 // seconds
	fixed    float64 // seconds
}

// whole is the search for a path over all layers.
func (c *Chooser) whole() span { return span{to: c.engine.Layers} }

// Choose returns the cheapest path, and false if no path with room covers the layers.
func (c *Chooser) Choose(now time.Time, request Request) (path Path, ok bool) {
	if c.engine == nil {
		return nil, false
	}
	banned := make(map[string]bool, len(request.Avoid))
	for _, id := range request.Avoid {
		banned[id] = true
	}
	for {
		path, ok = c.search(now, c.candidates(now, request, banned), request, c.whole())
		if !ok {
			return nil, false
		}
		between, twice := doubled(path)
		if !twice {
			return path, true
		}
		banned[between] = true
	}
}

// doubled returns an engine that lies between two stages of another one.
func doubled(path Path) (between string, twice bool) {
	for i := range path {
		for j := i + 2; j < len(path); j++ {
			if path[i].Server.ID == path[j].Server.ID {
				return path[i+1].Server.ID, true
			}
		}
	}
	return "", false
}

// candidates returns the engines that live and have room for the request.
func (c *Chooser) candidates(now time.Time, request Request, banned map[string]bool) (found []candidate) {
	most := MaxFill
	if request.FillLimit > 0 {
		most = request.FillLimit
	}
	for _, server := range c.servers {
		held := c.load(server.ID)
		if banned[server.ID] || held.health.isDead(now) {
			continue
		}
		card, _ := c.engine.Card(server.Card)
		room := c.engine.KVCapacity(card, server.Layers.Len()) * float64(server.Layers.Len())
		taken := c.taken(now, server.ID, held)
		fill := taken.ReservedKV * c.use / max(room, 1)
		if fill+c.need(request, server.Layers.Len())/max(room, 1) > 1 && fill > 0 || fill > most {
			continue
		}
		slowness := c.slowness(now, server.ID)
		use := min(taken.WorkRate*slowness, maxUse)
		read, write := c.work(card, server.Layers.Len(), request)
		step := float64(c.engine.StepTime) * card.DecodeFactor * float64(server.Layers.Len()) / float64(c.engine.Layers) * float64(c.engine.StepsPerPass)
		cost := (passesAhead*step + float64(read+write)) / float64(time.Second)
		cost *= 1 + spreadNoise*c.config.Random()
		cost *= slowness / ((1 - use) * (1 - fill))
		fixed := hopCost.Seconds()
		if held.health.suspected(now) || taken.Suspect && !held.health.lives(now) {
			fixed += suspectCost.Seconds()
		}
		found = append(found, candidate{server: server, perLayer: cost / float64(server.Layers.Len()), fixed: fixed})
	}
	return found
}
