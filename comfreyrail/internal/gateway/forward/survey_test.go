package forward

import (
	"context"
	"sync/atomic"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/backend"
)

// An engine that did not answer is used again once it does, whether its report holds its speed or not.
func TestAnyReportShowsThatAnEngineLives(t *testing.T) {
	for _, slowness := range []float64{0, 1, 12} {
		var asked atomic.Int32
		f, _, r := newRun(t, func(string) (backend.State, error) { return backend.State{Slowness: slowness}, nil }, &asked)
		server := r.path[2].Server
		f.fleet.unanswered(server)
		if _, dead := f.fleet.dead(r, 0); !dead {
			t.Fatal("got no dead engine, want the one that did not answer")
		}
		s := NewProber(f)
		s.asking.Add(1)
		s.ask(context.Background(), server)
		if stage, dead := f.fleet.dead(r, 0); dead {
			t.Errorf("slowness %v: got stage %d dead, want none once it has answered", slowness, stage)
		}
	}
}
