package pipeline

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/placement"
	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// deployment holds the engines of a service and the requests in progress on them.
type deployment struct {
	rt       *rapid.T
	tally    *proptest.Tally
	spec     *backend.EngineSpec
	servers  []backend.Server
	chooser  *Chooser
	now      time.Time
	running  []Chain
	requests []Request
}

// newDeployment draws the layers, cards, availability zones and engines of a deployment.
func newDeployment(rt *rapid.T, tally *proptest.Tally) *deployment {
	d := &deployment{rt: rt, tally: tally, now: start}
	d.spec = &backend.EngineSpec{
		Layers:  rapid.SampledFrom([]int{1, 7, 24, 32, 61, 80, 96}).Draw(rt, "layers"),
		LayerMB: rapid.Float64Range(200, 4000).Draw(rt, "layer memory"), KVTokenBytes: rapid.Float64Range(1e4, 2e6).Draw(rt, "token bytes"),
		StepTime: time.Millisecond, StepTimePerSequence: 7 * time.Microsecond,
		StepTimePerContextToken: 10 * time.Nanosecond, PrefillTimePerToken: 10 * time.Microsecond,
		StepsPerPass: rapid.IntRange(1, 8).Draw(rt, "stride"), ActivationBytes: 3e4, ZoneMbps: rapid.Float64Range(0, 3e4).Draw(rt, "zone megabits"),
	}
	for i := range rapid.IntRange(1, 4).Draw(rt, "cards") {
		minMemory := d.spec.LayerMB / placement.MaxWeightFraction
		d.spec.Cards = append(d.spec.Cards, backend.Card{
			Name: fmt.Sprintf("card%d", i), MemoryMB: minMemory * rapid.Float64Range(1.01, 60).Draw(rt, "memory"),
			DecodeFactor: rapid.Float64Range(1, 20).Draw(rt, "pace"), PrefillFactor: rapid.Float64Range(1, 10).Draw(rt, "read factor"),
		})
	}
	zones := rapid.IntRange(1, 6).Draw(rt, "zones")
	for i := range rapid.IntRange(1, 60).Draw(rt, "engines") {
		d.servers = append(d.servers, backend.Server{
			ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(rt, "zone")),
			Card: d.spec.Cards[rapid.IntRange(0, len(d.spec.Cards)-1).Draw(rt, "card")].Name,
		})
	}
	d.chooser = New(Config{Random: func() float64 { return 0.5 }})
	return d
}

// assignLayers assigns layers to the engines that hold none, checks that they fit, and draws the number of instances.
func (d *deployment) assignLayers() {
	for _, assignment := range placement.Plan(d.spec, d.servers, nil) {
		d.tally.Operations++
		card, _ := d.spec.Card(assignment.Server.Card)
		if weights := float64(assignment.Layers.Len()) * d.spec.LayerMB; weights > card.MemoryMB {
			d.tally.Failf(d.rt, "%s is assigned %.0f MB of weights, but has %.0f MB", assignment.Server.ID, weights, card.MemoryMB)
		}
		if assignment.Layers.From < 0 || assignment.Layers.Len() <= 0 || assignment.Layers.To > d.spec.Layers {
			d.tally.Failf(d.rt, "%s is assigned layers %+v of %d", assignment.Server.ID, assignment.Layers, d.spec.Layers)
		}
		for i := range d.servers {
			if d.servers[i].ID == assignment.Server.ID {
				d.servers[i].Layers = assignment.Layers
			}
		}
	}
	d.chooser.SetEngines(d.spec, d.servers, rapid.IntRange(1, 500).Draw(d.rt, "instances"))
}

// covered reports whether each layer is held by an engine that is not draining.
func (d *deployment) covered() bool {
	for layer := range d.spec.Layers {
		held := false
		for _, server := range d.servers {
			held = held || !server.Draining && server.Layers.From <= layer && layer < server.Layers.To
		}
		if !held {
			return false
		}
	}
	return true
}

// choose chooses a chain for a request, checks it, and starts the request.
func (d *deployment) choose() {
	request := Request{
		PromptTokens: rapid.IntRange(0, 4000).Draw(d.rt, "prompt"), OutputTokens: rapid.IntRange(1, 800).Draw(d.rt, "answer"),
		Zone: fmt.Sprintf("z%d", rapid.IntRange(0, 6).Draw(d.rt, "home")),
	}
	chain, ok := d.chooser.Choose(d.now, request)
	if !ok {
		if d.covered() && len(d.running) == 0 && request.PromptTokens == 0 && d.idle() {
			d.tally.Failf(d.rt, "no chain over idle engines that hold every layer")
		}
		return
	}
	d.checkChain(chain)
	d.chooser.Started(d.now, chain, request)
	d.running, d.requests = append(d.running, chain), append(d.requests, request)
}

func (d *deployment) idle() bool { return len(d.chooser.Usage(d.now)) == 0 }

func (d *deployment) checkChain(chain Chain) {
	d.tally.Operations++
	if !Covers(chain, d.spec.Layers) {
		d.tally.Failf(d.rt, "chain %+v does not run every layer once, in order", chain)
	}
	seen := make(map[string]bool)
	for _, stage := range chain {
		if seen[stage.Server.ID] || stage.Server.Draining {
			d.tally.Failf(d.rt, "chain %+v has an engine twice or a draining one", chain)
		}
		seen[stage.Server.ID] = true
	}
}

// step starts, ends or reroutes a request, or makes an engine restart without layers, drain, stop draining or become
// suspected.
func (d *deployment) step() {
	d.now = d.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(d.rt, "pause")) * time.Millisecond)
	n := rapid.IntRange(0, len(d.servers)-1).Draw(d.rt, "which")
	switch rapid.IntRange(0, 6).Draw(d.rt, "act") {
	case 0:
		d.tally.Count("crash")
		d.servers[n].Layers = backend.Range{}
		d.assignLayers()
	case 1:
		d.tally.Count("leave")
		d.servers[n].Draining = !d.servers[n].Draining
		d.assignLayers()
	case 2:
		d.tally.Count("suspect")
		d.chooser.MarkSuspected(d.now, d.servers[n].Address)
	case 3:
		d.reroute()
	case 4:
		d.endLast()
	default:
		d.choose()
	}
}

func (d *deployment) reroute() {
	if len(d.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(d.running)-1).Draw(d.rt, "request")
	stage := rapid.IntRange(0, len(d.running[i])-1).Draw(d.rt, "stage")
	chain, ok := d.chooser.Reroute(d.now, d.running[i], stage, d.requests[i])
	if !ok {
		return
	}
	d.tally.Count("move")
	if !Covers(chain, d.spec.Layers) || chain[0].Server.ID != d.running[i][0].Server.ID {
		d.tally.Failf(d.rt, "rerouted to %+v, which does not run every layer from the same first engine", chain)
	}
	d.chooser.Ended(d.running[i], d.requests[i])
	d.chooser.Started(d.now, chain, d.requests[i])
	d.running[i] = chain
}

func (d *deployment) endLast() {
	if len(d.running) == 0 {
		return
	}
	last := len(d.running) - 1
	d.chooser.Progressed(d.now, d.running[last], 30*time.Millisecond)
	d.chooser.Ended(d.running[last], d.requests[last])
	d.running, d.requests = d.running[:last], d.requests[:last]
}

// TestProveShapes checks on random deployments that assigned weights fit in memory, that each chosen or rerouted chain
// runs every layer once, in order, and that a chosen chain uses no engine twice and no draining one.
func TestProveShapes(t *testing.T) {
	proptest.Run(t, "shapes", func(rt *rapid.T, tally *proptest.Tally) {
		d := newDeployment(rt, tally)
		d.assignLayers()
		for range rapid.IntRange(1, 60).Draw(rt, "acts") {
			d.step()
		}
	})
}
