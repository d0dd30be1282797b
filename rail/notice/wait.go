package notice

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Wait is the time until a request can be sent again.
type Wait struct {
	// Left is the time that is left.
	Left time.Duration
	// Length is the whole time for which the server that ends the wait last wanted no requests.
	Length time.Duration
}

// minSpread is the minimum time over which the retries of requests that were refused during a wait are spread.
const minSpread = 100 * time.Millisecond

// RetryAfter returns the delay before a retry: Left plus the fraction, between 0 and 1, of half of Length, or of minSpread if that is
// longer. Random fractions spread the retries of the requests that were refused during the wait.
func (w Wait) RetryAfter(fraction float64) time.Duration {
	spread := max(w.Length/2, minSpread)
	return w.Left + time.Duration(fraction*float64(spread))
}

// serverWait returns how long a server wants no requests, which may be zero. It returns false if the server gets none at all
// because it is leaving or draining.
func (t *Tracker) serverWait(now time.Time, server backend.Server) (wait Wait, available bool) {
	r := t.records[incarnationOf(server)]
	switch {
	case server.Draining || r != nil && r.leaving:
		return Wait{}, false
	case r == nil || !r.waiting(now):
		return Wait{}, true
	default:
		return Wait{Left: r.waitUntil.Sub(now), Length: r.waitLength}, true
	}
}

// ServerWait returns the time until one of the servers can get a request. It returns false if one can get it now, or if all are
// leaving or draining.
func (t *Tracker) ServerWait(now time.Time, servers []backend.Server) (wait Wait, ok bool) {
	if len(t.records) == 0 {
		return Wait{}, false
	}
	var shortest *Wait
	for _, server := range servers {
		if next, available := t.serverWait(now, server); available {
			shortest = shorter(shortest, next)
		}
	}
	if shortest == nil {
		return Wait{}, false
	}
	return *shortest, shortest.Left > 0
}

// ChainWait returns the time until each of the layers is on an engine that can get a request. It returns false if that is so now,
// or if all engines of a layer are leaving or draining.
func (t *Tracker) ChainWait(now time.Time, engines []backend.Server, layers int) (wait Wait, ok bool) {
	if len(t.records) == 0 {
		return Wait{}, false
	}
	for _, shortest := range t.layerWaits(now, engines, layers) {
		if shortest == nil {
			return Wait{}, false
		}
		if shortest.Left > wait.Left {
			wait = *shortest
		}
	}
	return wait, wait.Left > 0
}

// layerWaits returns for each layer the time until one of its engines can get a request, or nil if all of them are leaving or
// draining.
func (t *Tracker) layerWaits(now time.Time, engines []backend.Server, layers int) (waits []*Wait) {
	waits = make([]*Wait, layers)
	for _, engine := range engines {
		next, available := t.serverWait(now, engine)
		if !available {
			continue
		}
		for layer := max(engine.Layers.From, 0); layer < min(engine.Layers.To, layers); layer++ {
			waits[layer] = shorter(waits[layer], next)
		}
	}
	return waits
}

// shorter returns the wait with less time left, where nil stands for no wait yet.
func shorter(current *Wait, next Wait) *Wait {
	if current != nil && current.Left <= next.Left {
		return current
	}
	return &next
}
