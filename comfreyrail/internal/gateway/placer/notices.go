package placer

import (
	"slices"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// markLeaving returns the engines, with those that have said that they are leaving marked as draining.
func (p *Placer) markLeaving(engines []backend.Server) []backend.Server {
	if p.config.Leaving == nil || !slices.ContainsFunc(engines, p.config.Leaving) {
		return engines
	}
	marked := slices.Clone(engines)
	for i := range marked {
		marked[i].Draining = marked[i].Draining || p.config.Leaving(marked[i])
	}
	return marked
}

// isWaiting reports whether an engine has said that it wants no requests now; it gets no orders until it wants requests again.
func (p *Placer) isWaiting(engine backend.Server) bool {
	return p.config.Waiting != nil && p.config.Waiting(engine)
}

// withoutLost returns the engines without those that hold layers but are probably gone. It returns all if those are half of the engines
// that hold layers, or more, since this instance itself may be disconnected.
func (p *Placer) withoutLost(engines []backend.Server) []backend.Server {
	if p.config.Lost == nil {
		return engines
	}
	holders := 0
	var left []backend.Server
	for _, engine := range engines {
		if engine.Layers.Len() > 0 {
			holders++
			if p.config.Lost(engine) {
				continue
			}
		}
		left = append(left, engine)
	}
	if lost := len(engines) - len(left); 2*lost >= holders {
		return engines
	}
	return left
}
