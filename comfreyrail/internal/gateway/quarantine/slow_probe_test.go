package quarantine

import (
	"context"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// lateEngines are engines whose first probes get no answer in time, and that refuse connections then.
type lateEngines struct {
	late int // probes of each engine without an answer

	mu     sync.Mutex
	probes map[string]int
}

func (e *lateEngines) fetchState(ctx context.Context, server backend.Server) (backend.State, error) {
	e.mu.Lock()
	e.probes[server.ID]++
	isLate := e.probes[server.ID] <= e.late
	e.mu.Unlock()
	if !isLate {
		return backend.State{}, syscall.ECONNREFUSED
	}
	<-ctx.Done()
	return backend.State{}, ctx.Err()
}

// Guards against crashes that don't count because the refusal of the probe was late or lost, and the entry is still there when the ended
// connection is forgotten; and against a silent server that counts as crashed.
func TestCrashCountsIfProbeIsLost(t *testing.T) {
	const always = 1000
	tests := []struct {
		name    string
		late    int
		crashed bool
	}{
		{"one probe", 1, true},
		{"two probes", 2, true},
		{"all probes of a silent server", always, false},
	}
	for _, test := range tests {
		synctest.Test(t, func(t *testing.T) {
			engines := &lateEngines{late: test.late, probes: make(map[string]int)}
			servers := make([]backend.Server, poison.MinRequestCrashes)
			for i := range servers {
				servers[i] = backend.Server{ID: fmt.Sprint(i), Service: "app", Address: fmt.Sprint("address", i)}
			}
			logger := logrus.New()
			logger.SetOutput(io.Discard)
			s := new(shared)
			k := New(Config{
				Name: "a", Grant: s.grant, Commit: s.commit, Metrics: metrics.NewRegistry(), Log: logrus.NewEntry(logger), FetchState: engines.fetchState,
				Snapshot: func() *catalog.Snapshot {
					return &catalog.Snapshot{Servers: map[string][]backend.Server{"app": servers}}
				},
			})
			ctx, cancel := context.WithCancel(context.Background())
			go func() { _ = k.Serve(ctx) }()
			for _, server := range servers {
				if k.ConnectionEnded(ctx, server, poison.Request{Digest: "digest"}, false) {
					t.Errorf("%s: got a crash at once, want it unknown", test.name)
				}
			}
			time.Sleep(unconfirmedTTL)
			if _, got := k.Blocked(poison.Request{Digest: "digest"}); got != test.crashed {
				t.Errorf("%s lost: got blocked %v, want %v", test.name, got, test.crashed)
			}
			cancel()
			time.Sleep(unconfirmedTTL)
			synctest.Wait()
		})
	}
}
