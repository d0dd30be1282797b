package chain

import (
	"math"
	"slices"
)

// scope says which segments a search weighs.
type scope int

const (
	// sampled weighs some segments of each boundary.
	sampled scope = iota
	// complete weighs every segment.
	complete
	// undivided weighs every segment that is the whole range of its server.
	undivided
)

// search holds the buffers of a search, so that a choice allocates only its plan.
type search struct {
	weighed [][]candidate
	path    []segment
	drawn   []int
}

// candidate is a segment with the cheapest rest of the chain that was found for it.
type candidate struct {
	segment segment
	cost    float64
	next    int
	end     int
}

// run finds a cheap chain among the segments in scope, and leaves it in path.
//
// No server has two stages, so a chain of the rest can be unfit for a server that runs parts of its range.
func (s *search) run(p *Picker, g *graph, request Request, scope scope) (cost float64, ok bool) {
	for len(s.weighed) < len(g.bounds) {
		s.weighed = append(s.weighed, nil)
	}
	last := len(g.bounds) - 1
	s.weighed[last] = s.weighed[last][:0]
	for begin := last - 1; begin >= 0; begin-- {
		s.weighed[begin] = s.weighed[begin][:0]
		s.sample(p, g, request, begin, scope)
	}
	best, cost := -1, math.Inf(1)
	for i, c := range s.weighed[0] {
		first, end := p.servers[c.segment.server], p.servers[c.end]
		total := c.cost + p.links[end.zone][first.zone] + p.links[end.zone][p.home]
		if total < cost {
			best, cost = i, total
		}
	}
	if best < 0 {
		return 0, false
	}
	s.trace(best)
	return cost, true
}

// sample weighs segments that begin at the boundary; which ones are sampled is random unless a prefix decides.
func (s *search) sample(p *Picker, g *graph, request Request, begin int, scope scope) {
	segments := g.from[begin]
	switch {
	case scope == sampled && request.Prefix != 0:
		s.prefer(p, g, request, begin)
	case scope == sampled && len(segments) > p.config.Samples:
		s.draw(p, g, request, begin)
	default:
		for _, offered := range segments {
			if scope != undivided || g.undivided(p.servers[offered.server], begin, offered) {
				s.weigh(p, g, request, begin, offered, 0)
			}
		}
	}
}

// draw weighs segments drawn at random; a segment that is drawn again is not weighed again.
func (s *search) draw(p *Picker, g *graph, request Request, begin int) {
	segments := g.from[begin]
	s.drawn = s.drawn[:0]
	for range p.config.Samples {
		i := p.config.Random.Intn(len(segments))
		if !slices.Contains(s.drawn, i) {
			s.drawn = append(s.drawn, i)
			s.weigh(p, g, request, begin, segments[i], 0)
		}
	}
}

// weigh adds the segment as a candidate unless it must be avoided or nothing follows it.
func (s *search) weigh(p *Picker, g *graph, request Request, begin int, offered segment, extra float64) {
	server := p.servers[offered.server]
	if len(request.Avoid) > 0 && request.Avoid[server.name] {
		return
	}
	found := candidate{segment: offered, next: -1, end: offered.server}
	rest := 0.0
	if offered.to < len(g.bounds)-1 {
		rest = math.Inf(1)
		for i, after := range s.weighed[offered.to] {
			link := p.links[server.zone][p.servers[after.segment.server].zone]
			if link+after.cost < rest && (!server.partial || !s.uses(offered.to, i, offered.server)) {
				rest, found.next, found.end = link+after.cost, i, after.end
			}
		}
		if found.next < 0 {
			return
		}
	}
	step := float64(g.bounds[offered.to]-g.bounds[begin]) * server.layerTime
	found.cost = rest + step*(1+p.streams(server)/server.slots+extra)
	s.weighed[begin] = append(s.weighed[begin], found)
}

// trace writes down the segments of the chain that begins with the candidate.
func (s *search) trace(first int) {
	s.path = s.path[:0]
	for begin, i := 0, first; i >= 0; {
		c := s.weighed[begin][i]
		s.path = append(s.path, c.segment)
		begin, i = c.segment.to, c.next
	}
}

// uses reports whether the chain that begins with the candidate has a stage at the server.
func (s *search) uses(begin, i, server int) bool {
	for i >= 0 {
		c := s.weighed[begin][i]
		if c.segment.server == server {
			return true
		}
		begin, i = c.segment.to, c.next
	}
	return false
}
