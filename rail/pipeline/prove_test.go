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

// shape is a deployment with the requests that are in progress there.
type shape struct {
	rt       *rapid.T
	tally    *proptest.Tally
	engine   *backend.EngineSpec
	servers  []backend.Server
	chooser  *Chooser
	now      time.Time
	running  []Path
	requests []Request
}

// newShape draws a deployment: layers, cards, availability zones, instances.
func newShape(rt *rapid.T, tally *proptest.Tally) *shape {
	s := &shape{rt: rt, tally: tally, now: start}
	s.engine = &backend.EngineSpec{
		Layers:  rapid.SampledFrom([]int{1, 7, 24, 32, 61, 80, 96}).Draw(rt, "layers"),
		LayerMB: rapid.Float64Range(200, 4000).Draw(rt, "layer memory"), KVTokenBytes: rapid.Float64Range(1e4, 2e6).Draw(rt, "token bytes"),
		StepTime: time.Millisecond, PerSequence: 7 * time.Microsecond, PerContext: 10 * time.Nanosecond, PerPromptToken: 10 * time.Microsecond,
		StepsPerPass: rapid.IntRange(1, 8).Draw(rt, "stride"), ActivationBytes: 3e4, ZoneMbps: rapid.Float64Range(0, 3e4).Draw(rt, "zone megabits"),
	}
	for i := range rapid.IntRange(1, 4).Draw(rt, "cards") {
		least := s.engine.LayerMB / placement.MaxWeightFraction
		s.engine.Cards = append(s.engine.Cards, backend.Card{
			Name: fmt.Sprintf("card%d", i), MemoryMB: least * rapid.Float64Range(1.01, 60).Draw(rt, "memory"),
			DecodeFactor: rapid.Float64Range(1, 20).Draw(rt, "pace"), PrefillFactor: rapid.Float64Range(1, 10).Draw(rt, "read factor"),
		})
	}
	zones := rapid.IntRange(1, 6).Draw(rt, "zones")
	for i := range rapid.IntRange(1, 60).Draw(rt, "engines") {
		s.servers = append(s.servers, backend.Server{
			ID: fmt.Sprintf("e%d", i), Address: fmt.Sprintf("e%d", i), Zone: fmt.Sprintf("z%d", rapid.IntRange(0, zones-1).Draw(rt, "zone")),
			Card: s.engine.Cards[rapid.IntRange(0, len(s.engine.Cards)-1).Draw(rt, "card")].Name,
		})
	}
	s.chooser = New(Config{Random: func() float64 { return 0.5 }})
	return s
}

// place gives layers to the engines that hold none, and checks that they fit.
func (s *shape) place() {
	for _, assignment := range placement.Plan(s.engine, s.servers, nil) {
		s.tally.Operations++
		card, _ := s.engine.Card(assignment.Server.Card)
		if weights := float64(assignment.Layers.Len()) * s.engine.LayerMB; weights > card.MemoryMB {
			s.tally.Failf(s.rt, "%s is to hold %.0f MB of %.0f", assignment.Server.ID, weights, card.MemoryMB)
		}
		if assignment.Layers.From < 0 || assignment.Layers.Len() <= 0 || assignment.Layers.To > s.engine.Layers {
			s.tally.Failf(s.rt, "%s is to hold layers %+v of %d", assignment.Server.ID, assignment.Layers, s.engine.Layers)
		}
		for i := range s.servers {
			if s.servers[i].ID == assignment.Server.ID {
				s.servers[i].Layers = assignment.Layers
			}
		}
	}
	s.chooser.SetFleet(s.engine, s.servers, rapid.IntRange(1, 500).Draw(s.rt, "instances"))
}

// covered reports whether each layer is held by somebody.
func (s *shape) covered() bool {
	for layer := range s.engine.Layers {
		held := false
		for _, server := range s.servers {
			held = held || !server.Draining && server.Layers.From <= layer && layer < server.Layers.To
		}
		if !held {
			return false
		}
	}
	return true
}

// choose sends a request along a path, and checks the path.
func (s *shape) choose() {
	request := Request{
		PromptTokens: rapid.IntRange(0, 4000).Draw(s.rt, "prompt"), OutputTokens: rapid.IntRange(1, 800).Draw(s.rt, "answer"),
		Zone: fmt.Sprintf("z%d", rapid.IntRange(0, 6).Draw(s.rt, "home")),
	}
	path, ok := s.chooser.Choose(s.now, request)
	if !ok {
		if s.covered() && len(s.running) == 0 && request.PromptTokens == 0 && s.idle() {
			s.tally.Failf(s.rt, "no path over idle engines that hold every layer")
		}
		return
	}
	s.checkPath(path)
	s.chooser.Started(s.now, path, request)
	s.running, s.requests = append(s.running, path), append(s.requests, request)
}

func (s *shape) idle() bool { return len(s.chooser.Usage(s.now)) == 0 }

func (s *shape) checkPath(path Path) {
	s.tally.Operations++
	if !Covers(path, s.engine.Layers) {
		s.tally.Failf(s.rt, "path %+v does not run every layer once, in order", path)
	}
	seen := make(map[string]bool)
	for _, stage := range path {
		if seen[stage.Server.ID] || stage.Server.Draining {
			s.tally.Failf(s.rt, "path %+v has an engine twice or one that leaves", path)
		}
		seen[stage.Server.ID] = true
	}
}

// act lets requests go on, end and be moved, and engines fail, leave and come back empty.
func (s *shape) act() {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(s.rt, "pause")) * time.Millisecond)
	n := rapid.IntRange(0, len(s.servers)-1).Draw(s.rt, "which")
	switch rapid.IntRange(0, 6).Draw(s.rt, "act") {
	case 0:
		s.tally.CountFault("crash")
		s.servers[n].Layers = backend.Range{}
		s.place()
	case 1:
		s.tally.CountFault("leave")
		s.servers[n].Draining = !s.servers[n].Draining
		s.place()
	case 2:
		s.tally.CountFault("suspect")
		s.chooser.SuspectAddress(s.now, s.servers[n].Address)
	case 3:
		s.move()
	case 4:
		s.end()
	default:
		s.choose()
	}
}

func (s *shape) move() {
	if len(s.running) == 0 {
		return
	}
	i := rapid.IntRange(0, len(s.running)-1).Draw(s.rt, "request")
	stage := rapid.IntRange(0, len(s.running[i])-1).Draw(s.rt, "stage")
	path, ok := s.chooser.Reroute(s.now, s.running[i], stage, s.requests[i])
	if !ok {
		return
	}
	s.tally.CountFault("move")
	if !Covers(path, s.engine.Layers) || path[0].Server.ID != s.running[i][0].Server.ID {
		s.tally.Failf(s.rt, "moved to %+v, which does not run every layer from the same first engine", path)
	}
	s.chooser.Ended(s.running[i], s.requests[i])
	s.chooser.Started(s.now, path, s.requests[i])
	s.running[i] = path
}

func (s *shape) end() {
	if len(s.running) == 0 {
		return
	}
	last := len(s.running) - 1
	s.chooser.Progressed(s.now, s.running[last], 30*time.Millisecond)
	s.chooser.Ended(s.running[last], s.requests[last])
	s.running, s.requests = s.running[:last], s.requests[:last]
}

func TestProveShapes(t *testing.T) {
	proptest.Run(t, "shapes", func(rt *rapid.T, tally *proptest.Tally) {
		s := newShape(rt, tally)
		s.place()
		for range rapid.IntRange(1, 60).Draw(rt, "acts") {
			s.act()
		}
	})
}
