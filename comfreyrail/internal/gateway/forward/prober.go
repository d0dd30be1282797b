package forward

import (
	"context"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Limits of probing engines for their slowness.
const (
	// slownessProbeInterval is the time between two searches for engines to probe.
	slownessProbeInterval = 50 * time.Millisecond
	// slownessProbeTimeout is the timeout of one probe.
	slownessProbeTimeout = 200 * time.Millisecond
	// slownessProbeRate is the maximum number of probes per second, over all instances together.
	slownessProbeRate = 25.0
	// slownessProbeBurst is the maximum number of permits for probes that an instance accumulates.
	slownessProbeBurst = 8.0
)

// Prober fetches the slowness of engines on chains with slow events, because the events do not show which engine of a
// chain is slow. It also probes engines that failed a probe until they respond again.
type Prober struct {
	forwarder *Forwarder
	inFlight  sync.WaitGroup
	permits   float64 // number of probes that the rate limit allows now
}

// NewProber returns a Prober for the engines that the Forwarder uses.
func NewProber(forwarder *Forwarder) *Prober {
	return &Prober{forwarder: forwarder, permits: slownessProbeBurst}
}

// Serve probes engines until ctx ends, then waits for the running probes and returns the context's error.
func (p *Prober) Serve(ctx context.Context) error {
	defer p.inFlight.Wait()
	ticker := time.NewTicker(slownessProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
			p.probeNext(ctx)
		}
	}
}

// probeNext starts the probes that are due, at most as many as there are permits.
func (p *Prober) probeNext(ctx context.Context) {
	instances := float64(max(len(p.forwarder.config.Catalog.Snapshot().Instances), 1))
	p.permits = min(p.permits+slownessProbeRate*slownessProbeInterval.Seconds()/instances, slownessProbeBurst)
	for _, server := range p.forwarder.selector.nextProbes(int(p.permits)) {
		p.permits--
		p.inFlight.Add(1)
		go p.probe(ctx, server)
	}
}

// probe fetches the state of one engine and records the result.
func (p *Prober) probe(ctx context.Context, server backend.Server) {
	defer p.inFlight.Done()
	ctx, cancel := p.forwarder.config.Clock.WithTimeout(ctx, slownessProbeTimeout)
	defer cancel()
	result := event.EngineProbe{Server: server.ID, Address: server.Address}
	log := p.forwarder.config.Log.WithFields(result.Fields())
	state, err := p.forwarder.config.FetchState(ctx, server)
	if err != nil {
		log.WithError(err).Info(event.EngineNoResponse)
		p.forwarder.selector.probeFailed(server)
		return
	}
	result.Slowness = state.Slowness
	p.forwarder.config.Log.WithFields(result.Fields()).Info(event.EngineSlowness)
	// A report without a slowness still shows that the engine responds.
	p.forwarder.selector.engineReported(server, state)
}
