package chain

import (
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Bounds of the affinity of requests with the same prefix.
const (
	// loadBound is the greatest load of a preferred server, as a multiple of the mean of its stage.
	loadBound = 1.25
	// preferred is the number of servers of a stage that share the requests with one prefix.
	preferred = 3
)

func hashName(name string) uint64 { return xxhash.Sum64String(name) }

// mix returns a hash of both numbers.
func mix(a, b uint64) uint64 {
	h := (a ^ b) * 0x9e3779b97f4a7c15
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// score ranks the server for a prefix by weighted rendezvous hashing; the greatest score is preferred.
func score(server *state, prefix uint64) float64 {
	unit := (float64(mix(server.hash, prefix)>>11) + 0.5) / (1 << 53)
	return -server.slots / (server.layerTime + 1e-9) / math.Log(unit)
}

// ranked is a segment with its rank for a prefix.
type ranked struct {
	segment segment
	score   float64
}

// prefer weighs the segments whose servers rank highest for the prefix and are not loaded beyond the bound.
func (s *search) prefer(p *Picker, g *graph, request Request, begin int) {
	limit := loadBound*p.meanLoad(g.from[begin]) + 1
	var top [preferred]ranked
	count := 0
	for _, offered := range g.from[begin] {
		server := p.servers[offered.server]
		if p.streams(server)/server.slots > limit || request.Avoid[server.name] {
			continue
		}
		entry := ranked{segment: offered, score: score(server, request.Prefix)}
		place := count
		for place > 0 && entry.score > top[place-1].score {
			place--
		}
		if place == preferred {
			continue
		}
		count = min(count+1, preferred)
		copy(top[place+1:count], top[place:count-1])
		top[place] = entry
	}
	for rank, entry := range top[:count] {
		extra := 0.0
		if rank > 0 && !holds(p.servers[entry.segment.server], request.Prefix) {
			extra = p.config.MissCost
		}
		s.weigh(p, g, request, begin, entry.segment, extra)
	}
}

// meanLoad returns the mean number of requests for each slot of the segments' servers.
func (p *Picker) meanLoad(segments []segment) float64 {
	streams, slots := 0.0, 0.0
	for _, offered := range segments {
		server := p.servers[offered.server]
		streams += p.streams(server)
		slots += server.slots
	}
	if slots == 0 {
		return 0
	}
	return streams / slots
}

// holds reports whether the last cache event of the server about the prefix says that it is cached.
func holds(server *state, prefix uint64) bool {
	for _, event := range slices.Backward(server.cache) {
		if event.Prefix == prefix {
			return !event.Evicted
		}
	}
	return false
}
