package probe

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/controltest"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// fakeServers is an http.RoundTripper that responds to probes for all backend servers.
type fakeServers struct {
	mu         sync.Mutex
	state      string
	calls      int
	running    map[string]int
	maxRunning int
}

// RoundTrip responds, fails or blocks until the request is canceled, depending on the state.
func (s *fakeServers) RoundTrip(r *http.Request) (*http.Response, error) {
	name, _, _ := strings.Cut(r.URL.Host, ":")
	s.mu.Lock()
	state := s.state
	s.calls++
	s.running[name]++
	s.maxRunning = max(s.maxRunning, s.running[name])
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running[name]--
		s.mu.Unlock()
	}()
	switch state {
	case "hang":
		<-r.Context().Done()
		return nil, r.Context().Err()
	case "refuse":
		return nil, errors.New("connection refused")
	default:
		body := io.NopCloser(strings.NewReader(fmt.Sprintf(`{"server":%q}`, name)))
		return &http.Response{StatusCode: http.StatusOK, Body: body}, nil
	}
}

func (s *fakeServers) setState(state string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = state
}

// count returns the number of calls and the maximum number of concurrent calls to one server.
func (s *fakeServers) count() (calls, maxRunning int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.maxRunning
}

// TestProber guards against failures that are detected too late, against overlapping probes of a server, and against
// exceeding the rate of probes.
func TestProber(t *testing.T) {
	tests := []struct {
		name, failure string
		servers       int
		maxDetection  time.Duration
	}{
		{"killed", "refuse", 8, 1200 * time.Millisecond},
		{"frozen", "hang", 8, 3 * time.Second},
		{"many hang", "hang", 1900, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				log := logrus.New()
				log.SetOutput(io.Discard)
				state := control.New(control.Config{Log: logrus.NewEntry(log), Checker: new(invariant.Checker), Observer: "self", ListLag: time.Second})
				go func() { _ = state.Serve(ctx) }()
				pool := table.Pool{Name: "p", Kind: table.PlainPool}
				for n := range test.servers {
					name := fmt.Sprintf("s%d", n)
					pool.Servers = append(pool.Servers, table.Server{Name: name, Address: name + ":1", Zone: "a"})
				}
				if err := controltest.Install(ctx, state, &table.Tables{Generation: 1, Pools: []table.Pool{pool}}); err != nil {
					t.Fatal(err)
				}
				fake := &fakeServers{running: make(map[string]int)}
				go func() { _ = New(Config{Control: state, HTTP: &http.Client{Transport: fake}}).Serve(ctx) }()
				// One instance sends at most 50 probes per second.
				time.Sleep(5 * time.Second)
				if got := usableCount(state); got < min(test.servers, 4*50) {
					t.Fatalf("%d servers are usable at first, want all, or as many as are probed in 4 s", got)
				}
				fake.setState(test.failure)
				failed := time.Now()
				if test.maxDetection > 0 {
					for usableCount(state) > 0 {
						time.Sleep(10 * time.Millisecond)
					}
					t.Logf("detected after %s", time.Since(failed))
					if got := time.Since(failed); got > test.maxDetection {
						t.Errorf("failure was detected after %s, want %s at most", got, test.maxDetection)
					}
				}
				time.Sleep(20*time.Second - time.Since(failed))
				calls, maxRunning := fake.count()
				if maxCalls := 25*50 + 1; calls > maxCalls {
					t.Errorf("%d calls in 25 s, want %d at most", calls, maxCalls)
				}
				if maxRunning > 1 {
					t.Errorf("%d calls to one server at once, want 1", maxRunning)
				}
				fake.setState("respond")
				if test.maxDetection > 0 {
					time.Sleep(7 * time.Second)
					if got := usableCount(state); got != test.servers {
						t.Errorf("%d servers are usable after recovery, want %d", got, test.servers)
					}
				}
			})
		})
	}
}

func usableCount(state *control.Control) int {
	count := 0
	for _, server := range state.Snapshot().Servers {
		if server.Usable {
			count++
		}
	}
	return count
}

// TestProbeRate guards against a rate outside minRate and maxRate, and against one that does not decrease as the fleet
// grows.
func TestProbeRate(t *testing.T) {
	tests := []struct {
		instances int
		want      float64
	}{
		{0, maxRate},
		{9, maxRate},
		{24, 25},
		{490, minRate},
	}
	for _, test := range tests {
		if got := probeRate(test.instances); got != test.want {
			t.Errorf("probeRate(%d) = %v, want %v", test.instances, got, test.want)
		}
	}
}
