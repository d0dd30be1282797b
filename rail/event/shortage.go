package event

import (
	"math"
	"time"
)

// Shortage describes the lack of memory for which a request was refused.
type Shortage struct {
	// From and To bound the first layers that no engine offered; they are equal if every layer was offered by some engine.
	From, To int
	// Engines is the number of engines that hold these layers, Dead and Suspected the numbers of those that failed a probe or
	// a request lately.
	Engines, Dead, Suspected int
	// LowestFill is the lowest filled fraction of the memory of these engines, FillLimit the highest at which the request would
	// have got memory.
	LowestFill, FillLimit float64
	// OwnKV and PeerKV are what this instance has reserved at the engine with the lowest fill and what the others are taken to
	// have, in tokens times layers; PeersKnown reports whether any of them has told it.
	OwnKV, PeerKV float64
	PeersKnown    bool
	// RetryAfter is the delay before a retry that the caller was told.
	RetryAfter time.Duration
}

// Fields returns the fields of the line.
func (s Shortage) Fields() Fields {
	fields := Fields{"retry_ms": s.RetryAfter.Milliseconds(), "limit": round(s.FillLimit)}
	if s.From == s.To {
		return fields
	}
	fields["from"], fields["to"], fields["engines"], fields["dead"], fields["suspected"] = s.From, s.To, s.Engines, s.Dead, s.Suspected
	fields["fill"], fields["own_kv"], fields["peer_kv"], fields["peers_known"] = round(s.LowestFill), math.Round(s.OwnKV), math.Round(s.PeerKV), s.PeersKnown
	return fields
}

// round rounds a fraction to three decimal places.
func round(fraction float64) float64 { return math.Round(fraction*1000) / 1000 }
