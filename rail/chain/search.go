package chain

import (
	"math"
	"slices"
)

// searchScope selects the segments that a search considers.
type searchScope int

const (
	// scopeSampled considers some of the segments that begin at each boundary: random ones, or those preferred for the
	// prefix of the request.
	scopeSampled searchScope = iota
	// scopeAll considers every segment.
	scopeAll
	// scopeWholeRanges considers every segment that is the whole range of its server.
	scopeWholeRanges
)

// search holds the buffers of a search, which are reused so that a choice allocates only its chain.
type search struct {
	// candidates lists the candidates by the index of the boundary where they begin.
	candidates [][]candidate
	// path is the chain that the last search found.
	path []segment
	// drawn lists the segments that addRandom has drawn.
	drawn []int
}

// candidate is a segment with the cheapest continuation to the last layer that was found for it.
type candidate struct {
	segment segment
	// cost is the expected time for each token from this segment to the end of the chain, in seconds.
	cost float64
	// next is the index of the next segment among the candidates at the end of this one, or -1 if this is the last.
	next int
	// lastServer is the server of the last segment of the chain.
	lastServer int
}

// findChain searches for a cheap chain among the segments in scope, and stores it in path.
//
// No server may have two stages of a chain. Only the cheapest continuation of each candidate is kept, and a server
// cannot precede a continuation that contains it. The search can therefore miss chains in which servers run parts of
// their ranges.
func (s *search) findChain(p *Picker, g *graph, request Request, scope searchScope) (cost float64, ok bool) {
	for len(s.candidates) < len(g.boundaries) {
		s.candidates = append(s.candidates, nil)
	}
	last := len(g.boundaries) - 1
	s.candidates[last] = s.candidates[last][:0]
	for boundary := last - 1; boundary >= 0; boundary-- {
		s.candidates[boundary] = s.candidates[boundary][:0]
		s.addCandidates(p, g, request, boundary, scope)
	}
	best, cost := -1, math.Inf(1)
	// For each token, the last stage sends the token to this instance and starts the next one at the first stage.
	for i, c := range s.candidates[0] {
		firstServer, lastServer := p.servers[c.segment.server], p.servers[c.lastServer]
		total := c.cost + p.linkSeconds[lastServer.zone][firstServer.zone] + p.linkSeconds[lastServer.zone][p.homeZone]
		if total < cost {
			best, cost = i, total
		}
	}
	if best < 0 {
		return 0, false
	}
	s.buildPath(best)
	return cost, true
}

// addCandidates adds candidates that begin at the boundary. For scopeSampled they depend on the prefix of the request
// if it has one, and are random otherwise.
func (s *search) addCandidates(p *Picker, g *graph, request Request, boundary int, scope searchScope) {
	segments := g.segmentsFrom[boundary]
	switch {
	case scope == scopeSampled && request.Prefix != 0:
		s.addPreferred(p, g, request, boundary)
	case scope == scopeSampled && len(segments) > p.config.Samples:
		s.addRandom(p, g, request, boundary)
	default:
		for _, seg := range segments {
			if scope != scopeWholeRanges || g.isWholeRange(p.servers[seg.server], boundary, seg) {
				s.addCandidate(p, g, request, boundary, seg, 0)
			}
		}
	}
}

// addRandom draws segments at random and adds each of them as a candidate once, even if it is drawn repeatedly.
func (s *search) addRandom(p *Picker, g *graph, request Request, boundary int) {
	segments := g.segmentsFrom[boundary]
	s.drawn = s.drawn[:0]
	for range p.config.Samples {
		i := p.config.Random.Intn(len(segments))
		if !slices.Contains(s.drawn, i) {
			s.drawn = append(s.drawn, i)
			s.addCandidate(p, g, request, boundary, segments[i], 0)
		}
	}
}

// addCandidate adds the segment as a candidate unless its server must be avoided or it has no continuation; penalty is
// an additional cost, as a fraction of the segment's time for each token.
func (s *search) addCandidate(p *Picker, g *graph, request Request, boundary int, seg segment, penalty float64) {
	server := p.servers[seg.server]
	if len(request.Avoid) > 0 && request.Avoid[server.name] {
		return
	}
	added := candidate{segment: seg, next: -1, lastServer: seg.server}
	restCost := 0.0
	if seg.end < len(g.boundaries)-1 {
		restCost = math.Inf(1)
		for i, next := range s.candidates[seg.end] {
			link := p.linkSeconds[server.zone][p.servers[next.segment.server].zone]
			if link+next.cost < restCost && (!server.partial || !s.usesServer(seg.end, i, seg.server)) {
				restCost, added.next, added.lastServer = link+next.cost, i, next.lastServer
			}
		}
		if added.next < 0 {
			return
		}
	}
	computeSeconds := float64(g.boundaries[seg.end]-g.boundaries[boundary]) * server.layerTime
	added.cost = restCost + computeSeconds*(1+p.estimateRequests(server)/server.slots+penalty)
	s.candidates[boundary] = append(s.candidates[boundary], added)
}

// buildPath stores in path the segments of the chain that begins with the candidate at the first boundary.
func (s *search) buildPath(first int) {
	s.path = s.path[:0]
	for boundary, i := 0, first; i >= 0; {
		c := s.candidates[boundary][i]
		s.path = append(s.path, c.segment)
		boundary, i = c.segment.end, c.next
	}
}

// usesServer reports whether the server is a stage of the chain that begins with candidate i at the boundary.
func (s *search) usesServer(boundary, i, server int) bool {
	for i >= 0 {
		c := s.candidates[boundary][i]
		if c.segment.server == server {
			return true
		}
		boundary, i = c.segment.end, c.next
	}
	return false
}
