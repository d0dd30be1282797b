package chain

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Parameters of prefix affinity, which sends requests with the same prompt prefix to the same servers.
const (
	// maxLoadFactor is the maximum load of the server of a preferred segment, as a multiple of the mean load of the
	// segments that begin at the same boundary; one request for each slot is allowed in addition.
	maxLoadFactor = 1.25
	// preferredSegments is the number of preferred segments at each boundary, which share the requests with one prefix.
	preferredSegments = 3
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix returns a hash of a and b; exchanging them gives the same hash.
func mix(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// rendezvousScore returns the score of the server for a prefix by weighted rendezvous hashing: the highest score is
// preferred, and the weight of a server is its number of slots divided by its time per layer.
func rendezvousScore(server *serverState, prefix uint64) float64 {
	unit := (float64(mix(server.nameHash, prefix)>>11) + 0.5) / (1 << 53)
	return -server.slots / (server.layerTime + 1e-9) / math.Log(unit)
}

// rankedSegment is a segment with the score of its server for a prefix.
type rankedSegment struct {
	segment segment
	score   float64
}

// addPreferred adds as candidates the segments whose servers have the highest scores for the prefix among those whose
// load does not exceed the limit.
//
// Each of them except the one with the highest score gets a penalty unless its server has the prefix in its cache.
func (s *search) addPreferred(p *Picker, g *graph, request Request, boundary int) {
	limit := maxLoadFactor*p.meanLoad(g.segmentsFrom[boundary]) + 1
	var top [preferredSegments]rankedSegment
	count := 0
	for _, seg := range g.segmentsFrom[boundary] {
		server := p.servers[seg.server]
		if p.estimateRequests(server)/server.slots > limit || request.Avoid[server.name] {
			continue
		}
		entry := rankedSegment{segment: seg, score: rendezvousScore(server, request.Prefix)}
		position := count
		for position > 0 && entry.score > top[position-1].score {
			position--
		}
		if position == preferredSegments {
			continue
		}
		count = min(count+1, preferredSegments)
		copy(top[position+1:count], top[position:count-1])
		top[position] = entry
	}
	for rank, entry := range top[:count] {
		penalty := 0.0
		if rank > 0 && !isCached(p.servers[entry.segment.server], request.Prefix) {
			penalty = p.config.MissCost
		}
		s.addCandidate(p, g, request, boundary, entry.segment, penalty)
	}
}

// meanLoad returns the mean number of requests for each slot over the servers of the segments.
func (p *Picker) meanLoad(segments []segment) float64 {
	requests, slots := 0.0, 0.0
	for _, seg := range segments {
		server := p.servers[seg.server]
		requests += p.estimateRequests(server)
		slots += server.slots
	}
	if slots == 0 {
		return 0
	}
	return requests / slots
}

// isCached reports whether the prefix is in the cache of the server, according to the server's last event about it.
func isCached(server *serverState, prefix uint64) bool {
	for _, event := range slices.Backward(server.cacheEvents) {
		if event.Prefix == prefix {
			return !event.Evicted
		}
	}
	return false
}
