package forward

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/retry"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// memoryStore is a store in the memory of a test, within the bubble of testing/synctest.
type memoryStore struct {
	mu       sync.Mutex
	items    map[string]store.Item
	revision uint64
	down     bool
}

func (s *memoryStore) put(key string, value any) {
	content, err := json.Marshal(value)
	if err != nil {
		panic(err) // every value of the tests can be encoded
	}
	s.write(store.Item{Key: key, Value: content})
}

func (s *memoryStore) remove(key string) { s.write(store.Item{Key: key, Deleted: true}) }

func (s *memoryStore) write(item store.Item) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	item.Revision = s.revision
	s.items[item.Key] = item
}

func (s *memoryStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// read returns the changes after a revision.
func (s *memoryStore) read(after uint64) (items []store.Item, revision uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, store.ErrUnavailable
	}
	for _, item := range s.items {
		if item.Revision > after {
			items = append(items, item)
		}
	}
	return items, s.revision, nil
}

// newStoreCatalog returns a catalog that follows the store until the context ends.
func newStoreCatalog(ctx context.Context, s *memoryStore, config route.Config) *catalog.Catalog {
	startedAt := time.Now()
	c := catalog.New(catalog.Config{
		Range: func(context.Context, string, string) (store.Page, error) {
			items, revision, err := s.read(0)
			return store.Page{Items: items, Revision: revision}, err
		},
		Watch: func(_ context.Context, _ string, after uint64, _ time.Duration) (store.Changes, error) {
			items, revision, err := s.read(after)
			return store.Changes{Items: items, Revision: revision}, err
		},
		FetchChanges: func(context.Context, string, catalog.ChangesRequest) (catalog.Changes, error) {
			return catalog.Changes{}, store.ErrUnavailable
		},
		ConfigKey: "config", DecodeConfig: func([]byte) (route.Config, error) { return config, nil },
		ServerID: func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeServer: func(_ string, value []byte) (decoded backend.Server, err error) {
			err = json.Unmarshal(value, &decoded)
			return decoded, err
		},
		WatchInterval: 100 * time.Millisecond, Elapsed: func() time.Duration { return time.Since(startedAt) }, Log: discardLog(),
	})
	go func() { _ = c.Serve(ctx) }()
	return c
}

// noticeGateway is a Forwarder with a store, in the bubble of testing/synctest.
type noticeGateway struct {
	*Forwarder

	store    *memoryStore
	registry metrics.Registry
}

func newNoticeGateway(ctx context.Context, t *testing.T, services ...route.Service) *noticeGateway {
	t.Helper()
	config := route.Config{Version: 1, Services: services}
	for _, service := range services {
		kind := route.Idempotent
		if service.Engine != nil {
			kind = route.Stream
		}
		config.Routes = append(config.Routes, route.Route{
			Name: service.Name, Host: "example.com", Prefix: "/" + service.Name + "/", Kind: kind, Resumable: true, MaxAttempts: 2, Timeout: 5 * time.Second,
			Services: []route.WeightedService{{Service: service.Name, Weight: 1}},
		})
	}
	s := &memoryStore{items: make(map[string]store.Item)}
	s.put("config", 1)
	registry := metrics.NewRegistry()
	g := &noticeGateway{store: s, registry: registry}
	g.Forwarder = New(Config{
		Catalog: newStoreCatalog(ctx, s, config), Log: discardLog(), Metrics: registry, ReadRequest: readRequest, MaxConfigAge: time.Hour, MaxApplyDelay: time.Hour,
		Retries: NewBudgets(BudgetConfig{
			Window: retry.WindowBudgetConfig{Ratio: 1, Burst: 100, Period: 10 * time.Second}, Instances: func() int { return 1 },
		}),
		PeerUsage: func(time.Time) func(string) (pipeline.Usage, bool) {
			return func(string) (pipeline.Usage, bool) { return pipeline.Usage{}, true }
		},
		RequestBlocked: func(poison.Request) (poison.Cause, bool) { return poison.Cause{}, false },
	})
	return g
}

// list writes entries of servers and waits until the catalog has read them.
func (g *noticeGateway) list(servers ...backend.Server) {
	for _, server := range servers {
		g.store.put("servers/"+server.ID, server)
	}
	time.Sleep(time.Second)
}

// choose returns the server of the next attempt at a request to the plain service, empty for none.
func (g *noticeGateway) choose() string {
	j := &job{service: "app", route: &route.Route{MaxAttempts: 1}}
	server, _ := g.nextPlainServer(j)
	return server.ID
}

// choices returns the servers of many requests to the plain service.
func (g *noticeGateway) choices() (chosen []string) {
	for range 50 {
		if id := g.choose(); !slices.Contains(chosen, id) {
			chosen = append(chosen, id)
		}
	}
	slices.Sort(chosen)
	return chosen
}

func waitFor(delay time.Duration) call.Response {
	return call.Response{RetryAfter: call.RetryAfter{Delay: delay}}
}
