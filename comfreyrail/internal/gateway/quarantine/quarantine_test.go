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

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// shared holds the crash reports that the keepers of a test write.
type shared struct {
	mu       sync.Mutex
	reports  map[string]poison.Evidence
	grants   int
	writes   int
	writeErr error
	era      uint64
}

func (s *shared) snapshot() *catalog.Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	return &catalog.Snapshot{CrashReports: s.reports, Era: s.era}
}

func (s *shared) grant(context.Context, time.Duration) (store.Lease, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grants++
	return store.Lease{ID: uint64(s.grants), Era: s.era}, nil
}

func (s *shared) commit(_ context.Context, transaction store.Transaction) (uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.writeErr != nil {
		return 0, s.writeErr
	}
	s.writes++
	reports := make(map[string]poison.Evidence)
	for name, report := range s.reports {
		reports[name] = report
	}
	for _, write := range transaction.Writes {
		report, err := poison.DecodeEvidence(write.Value)
		if err != nil {
			return 0, err
		}
		reports[write.Key[len(catalog.CrashReportPrefix):]] = report
	}
	s.reports = reports
	return s.era, nil
}

// newKeeper returns a running Keeper whose probes of engines end with the error.
func newKeeper(t *testing.T, s *shared, name string, probeErr error) *Keeper {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	k := New(Config{
		Name: name, Snapshot: s.snapshot, Grant: s.grant, Commit: s.commit, Metrics: metrics.NewRegistry(), Log: logrus.NewEntry(logger),
		FetchState: func(context.Context, backend.Server) (backend.State, error) { return backend.State{}, probeErr },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = k.Serve(ctx) }()
	return k
}

// endConnections records connections to engines that ended under a prompt with the part.
func endConnections(k *Keeper, engines int, part string) (crashed int) {
	for i := range engines {
		if k.ConnectionEnded(context.Background(), backend.Server{ID: fmt.Sprintf("%s-%d", k.config.Name, i)}, poison.Request{Parts: []string{part}}, false) {
			crashed++
		}
	}
	return crashed
}

// Guards against connections that are reset by engines which live on, or by the network, counting as crashes.
func TestConnectionEndedConfirmsCrash(t *testing.T) {
	tests := []struct {
		name     string
		probeErr error
		crashed  bool
	}{
		{"engine responds", nil, false},
		{"engine refuses connections", errors.Annotate(syscall.ECONNREFUSED, "fetch state"), true},
		{"engine is silent", context.DeadlineExceeded, false},
		{"connection is reset", syscall.ECONNRESET, false},
	}
	for _, test := range tests {
		k := newKeeper(t, new(shared), "a", test.probeErr)
		crashed := endConnections(k, poison.MinCrashes, "poisoned")
		if got := crashed == poison.MinCrashes; got != test.crashed {
			t.Errorf("%s: got %d crashes, want %v for every engine", test.name, crashed, test.crashed)
		}
		if _, got := k.Blocked(poison.Request{Parts: []string{"poisoned"}}); got != test.crashed {
			t.Errorf("%s: got blocked %v, want %v", test.name, got, test.crashed)
		}
	}
}

// Guards against a crash that does not count because a probe found the engine alive shortly before, when another connection ended.
func TestCrashAfterProbeCounts(t *testing.T) {
	probes := make(chan error, 3)
	for _, result := range []error{nil, syscall.ECONNREFUSED, nil} {
		probes <- result
	}
	k := newKeeper(t, new(shared), "a", nil)
	k.config.FetchState = func(context.Context, backend.Server) (backend.State, error) { return backend.State{}, <-probes }
	server := backend.Server{ID: "one"}
	for i, want := range []bool{false, true, true} {
		if got := k.ConnectionEnded(context.Background(), server, poison.Request{Parts: []string{"part"}}, false); got != want {
			t.Errorf("connection %d: got a crash %v, want %v", i, got, want)
		}
	}
}

// Guards against connections of an engine that end together being confirmed with a probe each.
func TestConnectionsThatEndTogetherShareProbes(t *testing.T) {
	const connections, probeTime = 50, 20 * time.Millisecond
	synctest.Test(t, func(t *testing.T) {
		probes := 0
		k := newKeeper(t, new(shared), "a", nil)
		k.config.FetchState = func(context.Context, backend.Server) (backend.State, error) {
			probes++
			time.Sleep(probeTime)
			return backend.State{}, nil
		}
		var wait sync.WaitGroup
		for range connections / 2 {
			wait.Go(func() {
				k.ConnectionEnded(context.Background(), backend.Server{ID: "one"}, poison.Request{Parts: []string{"part"}}, false)
			})
		}
		time.Sleep(probeTime / 2)
		for range connections / 2 { // these end while the engine is being probed
			wait.Go(func() {
				k.ConnectionEnded(context.Background(), backend.Server{ID: "one"}, poison.Request{Parts: []string{"part"}}, false)
			})
		}
		wait.Wait()
		if got, want := probes, 2; got != want {
			t.Errorf("got %d probes for %d connections, want %d", got, connections, want)
		}
	})
}

// Guards against instances that each let a poisoned part crash engines because none sees enough crashes, also if the store fails
// at first.
func TestCrashesOfAllInstancesCount(t *testing.T) {
	s := &shared{writeErr: errors.New("down")}
	a, b, c := newKeeper(t, s, "a", syscall.ECONNREFUSED), newKeeper(t, s, "b", syscall.ECONNREFUSED), newKeeper(t, s, "c", nil)
	endConnections(a, poison.MinCrashes-1, "poisoned")
	endConnections(b, 1, "poisoned")
	time.Sleep(checkInterval)
	s.mu.Lock()
	s.writeErr = nil
	s.mu.Unlock()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if _, ok := c.Blocked(poison.Request{Parts: []string{"poisoned"}}); ok {
			break
		}
	}
	for _, k := range []*Keeper{a, b, c} {
		if _, ok := k.Blocked(poison.Request{Parts: []string{"poisoned"}}); !ok {
			t.Errorf("%s: got the part sent, want it blocked", k.config.Name)
		}
	}
	if s.grants > s.writes+4 {
		t.Errorf("got %d leases for %d writes, want them reused", s.grants, s.writes)
	}
}

// Guards against a crash report that a restored store has lost and that is not written again, so that an instance that starts later
// sends a poisoned part.
func TestReportIsWrittenAgainAfterRestoration(t *testing.T) {
	s := &shared{era: 1}
	k := newKeeper(t, s, "a", syscall.ECONNREFUSED)
	endConnections(k, 1, "poisoned")
	written := func(want int) bool {
		for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
			s.mu.Lock()
			ok := s.writes >= want && len(s.reports) == 1
			s.mu.Unlock()
			if ok {
				return true
			}
		}
		return false
	}
	if !written(1) {
		t.Fatal("got no report")
	}
	s.mu.Lock()
	s.era, s.reports = 2, nil
	s.mu.Unlock()
	if !written(2) || s.grants != 2 {
		t.Errorf("got %d writes under %d leases, want the report written again under a new lease", s.writes, s.grants)
	}
}

// Guards against a report that is written again under a new lease at each check because the response that granted the lease stated
// no era.
func TestLeaseOfUnknownEraIsKept(t *testing.T) {
	report := poison.Evidence{Report: poison.Report{Crashes: []poison.Crash{{Engine: "one", Parts: []string{"a"}}}}}
	p := publisher{report: report, lease: store.Lease{ID: 1}, grantedAt: time.Now()}
	p.forgetIfRestored(1)
	if p.isDue(report, 1) {
		t.Error("got the report due again under a new lease, want it kept")
	}
}
