package forward

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// Guards against an engine staying marked as dead after it has responded with a report that does not contain its
// slowness.
func TestReportClearsDeadEngine(t *testing.T) {
	for _, slowness := range []float64{0, 1, 12} {
		var probes atomic.Int32
		f, _, a := newStreamAttempt(t, func(string) (backend.State, error) { return backend.State{Slowness: slowness}, nil }, &probes)
		server := a.chain[2].Server
		f.selector.probeFailed(server)
		if _, dead := f.selector.deadStage(a, 0); !dead {
			t.Fatal("got no dead engine, want the one that failed a probe")
		}
		p := NewProber(f)
		p.inFlight.Add(1)
		p.probe(context.Background(), server)
		if stage, dead := f.selector.deadStage(a, 0); dead {
			t.Errorf("slowness %v: got stage %d dead, want none after a response", slowness, stage)
		}
	}
}
