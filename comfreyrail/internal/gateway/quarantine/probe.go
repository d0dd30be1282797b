package quarantine

import (
	"context"
	"fmt"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Times of the probe that confirms a crash.
const (
	// probeTimeout is the timeout of the probe.
	probeTimeout = 150 * time.Millisecond
	// probeTTL is how long a probe is kept that found an engine crashed.
	probeTTL = time.Second
)

// crashProbe is the probe of an engine whose connection ended.
type crashProbe struct {
	at      time.Time
	done    chan struct{} // closed once crashed is set
	crashed bool
	silent  bool // whether the probe got no answer in time
}

// isDone reports whether crashed is set.
func (p *crashProbe) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// incarnation identifies a start of an engine.
func incarnation(server backend.Server) string { return fmt.Sprintf("%s@%d", server.ID, server.Born) }

// probe reports whether a server refuses connections now, and whether it does not answer. Requests whose connections ended together
// share a probe. One that found the engine crashed is reused; one that found it alive counts only for connections that had ended before
// it started.
func (k *Keeper) probe(ctx context.Context, server backend.Server) (crashed, silent bool) {
	endedAt := time.Now()
	for {
		probe, first := k.lastProbe(incarnation(server), endedAt)
		if first {
			probe.crashed, probe.silent = k.refusesConnections(ctx, server, probeTimeout)
			close(probe.done)
		}
		<-probe.done
		if probe.crashed || !probe.at.Before(endedAt) {
			return probe.crashed, probe.silent
		}
	}
}

// lastProbe returns the last probe of an engine for a connection that ended at the given time. If that probe is over and says nothing
// of the time, it returns a new one, which the caller must carry out.
func (k *Keeper) lastProbe(engine string, endedAt time.Time) (probe *crashProbe, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for id, probe := range k.probes {
		if now.Sub(probe.at) > probeTTL {
			delete(k.probes, id)
		}
	}
	probe = k.probes[engine]
	if probe != nil && (!probe.isDone() || probe.crashed || !probe.at.Before(endedAt)) {
		return probe, false
	}
	probe = &crashProbe{at: now, done: make(chan struct{})}
	k.probes[engine] = probe
	return probe, true
}

// refusesConnections probes an engine and counts it if it has crashed. It also reports whether the probe got no answer in time.
func (k *Keeper) refusesConnections(ctx context.Context, server backend.Server, timeout time.Duration) (crashed, silent bool) {
	ctx, cancel := k.config.Clock.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	err := k.connect(ctx, server, timeout)
	crashed = errors.Is(err, syscall.ECONNREFUSED)
	if crashed {
		metrics.GetOrRegisterCounter("quarantine.crashes", k.config.Metrics).Inc(1)
	}
	return crashed, ctx.Err() != nil
}

// connect requests the state of an engine, or opens a connection to another server.
func (k *Keeper) connect(ctx context.Context, server backend.Server, timeout time.Duration) error {
	if !k.isPlain(server) {
		_, err := k.config.FetchState(ctx, server)
		return err
	}
	conn, err := k.config.Clock.Dialer(timeout)(ctx, "tcp", server.Address)
	if err != nil {
		return err
	}
	return conn.Close()
}

// isPlain reports whether a server is not an engine.
func (k *Keeper) isPlain(server backend.Server) bool {
	index := k.config.Snapshot().Index
	if index == nil {
		return false
	}
	service, ok := index.Service(server.Service)
	return ok && service.Engine == nil
}
