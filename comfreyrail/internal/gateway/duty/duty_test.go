package duty

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

var (
	errRefused  = errors.New("refused")
	errNoAnswer = errors.New("no answer")
)

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// engines are model engines that take orders as a test says.
type engines struct {
	mu     sync.Mutex
	states map[string]backend.State
	orders []string
	mute   bool // orders are carried out, but not answered
	late   bool // orders are neither answered nor carried out yet
}

func (e *engines) state(_ context.Context, server backend.Server) (backend.State, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.states[server.ID], nil
}

func (e *engines) place(_ context.Context, server backend.Server, orders int64, layers backend.Range) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.orders = append(e.orders, fmt.Sprintf("%s=%d-%d", server.ID, layers.From, layers.To))
	if e.late {
		return errNoAnswer
	}
	state := e.states[server.ID]
	if state.Orders != orders {
		return errRefused
	}
	e.states[server.ID] = backend.State{Orders: orders + 1, Layers: layers}
	if e.mute {
		return errNoAnswer
	}
	return nil
}

func (e *engines) taken() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders)
}

// newPlacer returns a Placer that knows eight engines of which so many hold their part already.
func newPlacer(t *testing.T, e *engines, holding int, leased bool) *Placer {
	t.Helper()
	engine := &backend.EngineSpec{Layers: 80, LayerMB: 1750, KVTokenBytes: 918000, Cards: []backend.Card{{Name: "small", MemoryMB: 26600, DecodeFactor: 1, PrefillFactor: 1}}}
	e.states = make(map[string]backend.State)
	items := []store.Item{{Key: "config", Revision: 1}}
	for i := range 8 {
		server := backend.Server{ID: fmt.Sprintf("e%d", i), Service: "llm", Address: "x:1", Zone: "a", Card: "small"}
		if i < holding {
			server.Layers = backend.Range{From: i * 10, To: (i + 1) * 10}
		}
		e.states[server.ID] = backend.State{Layers: server.Layers}
		value, err := json.Marshal(server)
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, store.Item{Key: "servers/" + server.ID, Value: value, Revision: uint64(i + 2)})
	}
	lease := NewLease(LeaseConfig{Elapsed: func() time.Duration { return time.Hour }})
	if leased {
		lease.extend(7, 2*time.Hour)
	}
	return NewPlacer(PlacerConfig{
		Name: "me", Catalog: newCatalog(t, items, engine), Lease: lease, FetchState: e.state, OrderLoad: e.place, Log: quiet(),
		Refused: func(err error) bool { return errors.Is(err, errRefused) },
	})
}

func newCatalog(t *testing.T, items []store.Item, engine *backend.EngineSpec) *catalog.Catalog {
	t.Helper()
	read := make(chan struct{})
	var once sync.Once
	known := catalog.New(catalog.Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			return store.Page{Items: items, Revision: 10}, nil
		},
		Watch: func(ctx context.Context, _ string, _ uint64, _ time.Duration) (store.Changes, error) {
			once.Do(func() { close(read) })
			<-ctx.Done()
			return store.Changes{}, ctx.Err()
		},
		FetchChanges: func(context.Context, string, uint64) (catalog.Changes, error) { return catalog.Changes{}, errNoAnswer },
		ConfigKey:    "config",
		DecodeConfig: func([]byte) (route.Config, error) {
			return route.Config{Version: 1, Services: []route.Service{{Name: "llm", Engine: engine}}}, nil
		},
		ServerID: func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeServer: func(_ string, value []byte) (decoded backend.Server, err error) {
			err = json.Unmarshal(value, &decoded)
			return decoded, err
		},
		WatchInterval: time.Millisecond, Log: quiet(), Elapsed: func() time.Duration { return time.Hour },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = known.Serve(ctx) }()
	<-read
	return known
}

// placeAll lets the Placer look once and waits for its orders.
func placeAll(p *Placer) {
	p.place(context.Background())
	p.orders.Wait()
}

func TestPlaceFillsOnlyEmptyEngines(t *testing.T) {
	var e engines
	p := newPlacer(t, &e, 5, true)
	placeAll(p)
	if got := e.taken(); got != 3 {
		t.Errorf("got %d orders %v, want one for each of three empty engines", got, e.orders)
	}
	covered := make(map[int]bool)
	for _, state := range e.states {
		covered[state.Layers.From] = true
	}
	if len(covered) != 8 {
		t.Errorf("got %d parts held, want all 8: %v", len(covered), e.states)
	}
	placeAll(p)
	if got := e.taken(); got != 3 {
		t.Errorf("got %d orders after a second look, want no more while loads run", got)
	}
}

func TestPlaceNeedsTheLease(t *testing.T) {
	var e engines
	placeAll(newPlacer(t, &e, 5, false))
	if got := e.taken(); got != 0 {
		t.Errorf("got %d orders, want none without a lease", got)
	}
}

// An order that was carried out without an answer is found in the engine's state, and not given again.
func TestPlaceReadsBackAfterASilentOrder(t *testing.T) {
	e := engines{mute: true}
	p := newPlacer(t, &e, 7, true)
	placeAll(p)
	placeAll(p)
	placeAll(p)
	if got := e.taken(); got != 1 {
		t.Errorf("got orders %v, want one: the engine's state shows that it was carried out", e.orders)
	}
}

// An order that comes late, after a newer one, finds another number of orders and changes nothing.
func TestPlaceSurvivesALateOrder(t *testing.T) {
	e := engines{late: true}
	p := newPlacer(t, &e, 7, true)
	placeAll(p)
	e.late = false
	placeAll(p)
	held := e.states["e7"]
	if held.Layers.Len() != 10 || held.Orders != 1 {
		t.Fatalf("got %+v, want the second order carried out", held)
	}
	err := e.place(context.Background(), backend.Server{ID: "e7"}, 0, backend.Range{From: 0, To: 10})
	if !errors.Is(err, errRefused) || e.states["e7"].Layers != held.Layers || e.states["e7"].Orders != held.Orders {
		t.Errorf("got %v and %+v, want the late order refused", err, e.states["e7"])
	}
}

// A free duty is tried for by a few instances of a large fleet only, and by a lone one at once.
func TestFewTryForTheDuty(t *testing.T) {
	tests := []struct {
		name      string
		instances int
		draw      float64
		want      bool
	}{
		{"a lone one", 1, 0.99, true},
		{"one of 68 that is drawn", 68, 0.01, true},
		{"one of 68 that is not", 68, 0.5, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var items []store.Item
			items = append(items, store.Item{Key: "config", Revision: 1})
			for i := range test.instances {
				self := catalog.Instance{Name: fmt.Sprintf("i%d", i), Zone: "a", PeerAddress: "x:1"}
				value, err := self.Encode()
				if err != nil {
					t.Fatal(err)
				}
				items = append(items, store.Item{Key: catalog.InstancePrefix + self.Name, Value: value, Revision: uint64(i + 2)})
			}
			tries := 0
			lease := NewLease(LeaseConfig{Elapsed: func() time.Duration { return time.Hour }})
			lease.extend(7, 2*time.Hour)
			p := NewPlacer(PlacerConfig{
				Name: "i0", Catalog: newCatalog(t, items, nil), Lease: lease, Log: quiet(), Random: func() float64 { return test.draw },
				Commit: func(context.Context, store.Transaction) (uint64, error) {
					tries++
					return 0, store.ErrConflict
				},
			})
			for range 3 {
				if p.onDuty(context.Background()) {
					t.Error("got the duty after a conflict, want it left to the other instance")
				}
			}
			if got := tries == 1; got != test.want || tries > 1 {
				t.Errorf("got %d tries, want one: %v, and no second one at once", tries, test.want)
			}
		})
	}
}

func TestLeaseIsNotReliedOnNearItsEnd(t *testing.T) {
	now := time.Hour
	lease := NewLease(LeaseConfig{
		Elapsed: func() time.Duration { return now }, Log: quiet(),
		Grant: func(context.Context, time.Duration) (store.Lease, error) {
			return store.Lease{ID: 3, TTL: leaseTTL}, nil
		},
		Commit: func(context.Context, store.Transaction) (uint64, error) { return 1, nil },
		Renew:  func(context.Context, uint64) error { return store.ErrUnavailable },
	})
	if err := lease.step(context.Background()); err != nil {
		t.Fatal(err)
	}
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, true}, {leaseTTL - leaseMargin - time.Millisecond, true}, {leaseTTL - leaseMargin, false}, {time.Minute, false}}
	for _, test := range tests {
		now = time.Hour + test.after
		if _, got := lease.Held(); got != test.want {
			t.Errorf("after %v, also of a suspended machine: got held %v, want %v", test.after, got, test.want)
		}
	}
}
