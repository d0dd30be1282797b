package forward

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/quarantine"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/retry"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// server is a backend server that handles its n-th request with a function set by the test.
type server struct {
	id, address string
	respond     func(conn net.Conn, request *http.Request, n int)
	listener    net.Listener
	card        string // kind of accelerator if the server is an engine, which then holds layer 0

	mu       sync.Mutex
	requests []*http.Request
}

func newServer(t *testing.T, id string, respond func(conn net.Conn, request *http.Request, n int)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{id: id, address: listener.Addr().String(), respond: respond, listener: listener}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	return s
}

func (s *server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		s.mu.Lock()
		s.requests = append(s.requests, request)
		n := len(s.requests)
		s.mu.Unlock()
		s.respond(conn, request, n)
	}
}

// entry returns the server as it is listed.
func (s *server) entry() backend.Server {
	listed := backend.Server{ID: s.id, Service: "app", Address: s.address, Slots: 4, Card: s.card}
	if s.card != "" {
		listed.Layers = backend.Range{To: 1}
	}
	return listed
}

func (s *server) received() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.requests)
}

func (s *server) request(n int) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests[n]
}

// respondOK and the functions below handle requests at a server.
func respondOK(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
}

func closeConnection(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() }

func respondNotRun(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
}

func respondWrongID(conn net.Conn, _ *http.Request, _ int) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 2\r\n\r\nno")
}

func respondTruncated(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", request.Header.Get("Id"))
	_ = conn.Close()
}

func respondNothing(net.Conn, *http.Request, int) { time.Sleep(time.Second) }

// gateway is a Forwarder behind a listener, with a configuration age set by the test.
type gateway struct {
	url       string
	configAge atomic.Int64
	memory    *limit.Budget // for responses
	requests  *limit.Budget // for request bodies
	forwarder *Forwarder
	keeper    *quarantine.Keeper
}

// Memory of a gateway in bytes, that of an instance with 160 MB.
const (
	requestMemory  = 10 << 20
	responseMemory = 5 << 18
)

func discardLog() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// logOnFailure returns a log whose lines are printed if the test fails.
func logOnFailure(t *testing.T) *logrus.Entry {
	t.Helper()
	var mu sync.Mutex
	var lines strings.Builder
	logger := logrus.New()
	logger.SetOutput(writerFunc(func(line []byte) (int, error) {
		mu.Lock()
		defer mu.Unlock()
		return lines.Write(line)
	}))
	t.Cleanup(func() {
		mu.Lock()
		defer mu.Unlock()
		if t.Failed() {
			t.Logf("log:\n%s", lines.String())
		}
	})
	return logrus.NewEntry(logger)
}

// writerFunc is a function that is called for each write.
type writerFunc func([]byte) (int, error)

// Write calls the function.
func (w writerFunc) Write(content []byte) (int, error) { return w(content) }

// gatewayOptions are the options of newGatewayWith; fields that are nil leave the gateway of newGateway as it is.
type gatewayOptions struct {
	config func(*route.Config)
	budget func(*BudgetConfig)
	state  func(context.Context, backend.Server) (backend.State, error) // the state that engines report
	ended  func(ctx context.Context, server backend.Server, request poison.Request, began bool) (crashed bool)
	clock  *runclock.Clock
	// announce makes what the gateway saw of crashes known to others; the store is down.
	announce func(content []byte)
	// store is what the catalog reads and the crash reports are written to, under the name; nil means a store of the gateway's own.
	store *sharedStore
	name  string
}

// newGateway returns a gateway with a route of each kind to the servers. The function modify, if not nil, changes the
// configuration.
func newGateway(t *testing.T, modify func(*route.Config), servers ...*server) *gateway {
	t.Helper()
	return newGatewayWith(t, gatewayOptions{config: modify}, servers...)
}

// newGatewayWith is like newGateway with more options.
func newGatewayWith(t *testing.T, options gatewayOptions, servers ...*server) *gateway {
	t.Helper()
	g := &gateway{memory: limit.NewBudget(responseMemory), requests: limit.NewBudget(requestMemory)}
	config := route.Config{
		Version: 1,
		Routes: []route.Route{
			{Name: "once", Host: "127.0.0.1", Prefix: "/once/", Kind: route.AtMostOnce, MaxAttempts: 1, Timeout: 400 * time.Millisecond},
			{Name: "safe", Host: "127.0.0.1", Prefix: "/safe/", Kind: route.Idempotent, MaxAttempts: 2, Timeout: time.Second},
			{
				Name: "stream", Host: "127.0.0.1", Prefix: "/stream/", Kind: route.Stream, Resumable: true, MaxAttempts: 2,
				Timeout: 5 * time.Second, LatencyTarget: 500 * time.Millisecond, GapTarget: 200 * time.Millisecond,
			},
			{
				Name: "single", Host: "127.0.0.1", Prefix: "/single/", Kind: route.Stream, MaxAttempts: 2,
				Timeout: 5 * time.Second, LatencyTarget: 500 * time.Millisecond, GapTarget: 200 * time.Millisecond,
			},
		},
		Services: []route.Service{{Name: "app"}},
	}
	for i := range config.Routes {
		config.Routes[i].Services = []route.WeightedService{{Service: "app", Weight: 1}}
	}
	if options.config != nil {
		options.config(&config)
	}
	budget := BudgetConfig{
		Window:    retry.WindowBudgetConfig{Ratio: 1, Burst: 100, Period: 10 * time.Second},
		Instances: func() int { return 1 },
	}
	if options.budget != nil {
		options.budget(&budget)
	}
	if options.state == nil {
		options.state = func(context.Context, backend.Server) (backend.State, error) { return backend.State{}, nil }
	}
	if options.store == nil {
		options.store = newSharedStore(servers)
	}
	c := newCatalog(t, g, config, options.store)
	registry := metrics.NewRegistry()
	keeper := newKeeper(t, c, registry, options)
	if options.ended == nil {
		options.ended = keeper.ConnectionEnded
	}
	f := New(Config{
		Catalog: c, Upstream: upstream.New(upstream.Config{DialTimeout: time.Second, Budget: g.memory}), Log: logOnFailure(t), Metrics: registry,
		RequestMemory: g.requests, ResponseMemory: g.memory,
		MaxConfigAge: 4 * time.Second, MaxApplyDelay: 2 * time.Second,
		Retries: NewBudgets(budget),
		PeerUsage: func(time.Time) func(string) (pipeline.Usage, bool) {
			return func(string) (pipeline.Usage, bool) { return pipeline.Usage{}, true }
		},
		ReadRequest: readRequest, WriteBackendRequest: writeBackendRequest, ReadResponse: readResponse,
		FetchState:     options.state,
		RequestBlocked: keeper.Blocked, RequestWaiting: keeper.Waiting, PromptBegan: keeper.Began, RequestAnswered: keeper.Answered, ConnectionEnded: options.ended,
		Reroute: func(context.Context, backend.Server, string, []call.Stage) error { return nil }, Clock: options.clock,
	})
	g.forwarder, g.keeper = f, keeper
	proxy := httptest.NewServer(f)
	t.Cleanup(proxy.Close)
	g.url = proxy.URL
	return g
}

// newKeeper returns a Keeper, which runs if it announces crashes.
func newKeeper(t *testing.T, c *catalog.Catalog, registry metrics.Registry, options gatewayOptions) *quarantine.Keeper {
	t.Helper()
	config := quarantine.Config{
		Name: "self", Snapshot: c.Snapshot, FetchState: dial, Announce: options.announce, Metrics: registry, Log: discardLog(),
		Grant: func(context.Context, time.Duration) (store.Lease, error) { return store.Lease{}, store.ErrUnavailable },
	}
	if options.name != "" {
		config.Name, config.Grant, config.Commit = options.name, options.store.grant, options.store.commit
	}
	keeper := quarantine.New(config)
	if options.announce != nil || options.name != "" {
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		go func() { _ = keeper.Serve(ctx) }()
	}
	return keeper
}

// dial returns no state, and the error of opening a connection to the server.
func dial(ctx context.Context, server backend.Server) (backend.State, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", server.Address)
	if err == nil {
		err = conn.Close()
	}
	return backend.State{}, err
}

func readRequest(header http.Header) call.Request {
	timeout, _ := strconv.Atoi(header.Get("Timeout"))
	request := call.Request{
		ID: header.Get("Id"), APIKey: header.Get("Key"), LastEventID: header.Get("Last-Event-Id"), Timeout: time.Duration(timeout) * time.Millisecond,
	}
	if parts := strings.Split(header.Get("Prefix"), ","); len(parts) > 1 {
		request.SharedParts = parts[:len(parts)-1]
	}
	return request
}

func writeBackendRequest(header http.Header, forward call.BackendRequest) {
	header.Del("Key")
	header.Set("Workspace", forward.Workspace)
	header.Set("Deadline", strconv.FormatInt(forward.Timeout.Milliseconds(), 10))
	if forward.LastEventID != "" {
		header.Set("Last-Event-Id", forward.LastEventID)
	}
}

// readResponse takes every response for a signed one, unless its header says otherwise.
func readResponse(_ int, header http.Header) call.Response {
	seconds, _ := strconv.Atoi(header.Get("Wait"))
	return call.Response{
		ID: header.Get("Id"), Signed: header.Get("Unsigned") == "", NotRun: header.Get("Not-Run") != "", Leaving: header.Get("Leaving") != "",
		RetryAfter: call.RetryAfter{Delay: time.Duration(seconds) * time.Second},
	}
}

// newCatalog returns a catalog that has read the configuration and the servers once from the store.
func newCatalog(t *testing.T, g *gateway, config route.Config, from *sharedStore) *catalog.Catalog {
	t.Helper()
	read := make(chan struct{})
	var once sync.Once
	c := catalog.New(catalog.Config{
		Range: from.read,
		Watch: func(ctx context.Context, _ string, after uint64, _ time.Duration) (store.Changes, error) {
			once.Do(func() { close(read) })
			return from.watch(ctx, after)
		},
		FetchChanges: func(context.Context, string, catalog.ChangesRequest) (catalog.Changes, error) {
			return catalog.Changes{}, store.ErrUnavailable
		},
		ConfigKey:    "config",
		DecodeConfig: func([]byte) (route.Config, error) { return config, nil },
		ServerID:     func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeServer: func(_ string, value []byte) (decoded backend.Server, err error) {
			err = json.Unmarshal(value, &decoded)
			return decoded, err
		},
		WatchInterval: time.Millisecond, Log: discardLog(),
		Elapsed: func() time.Duration { return time.Duration(g.configAge.Load()) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = c.Serve(ctx) }()
	<-read
	return c
}

// post sends a request to a URL on a connection of its own, with the time that its caller states. A zero time is not stated.
func post(ctx context.Context, t *testing.T, url string, timeout time.Duration) (response *http.Response, err error) {
	t.Helper()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	if timeout > 0 {
		request.Header.Set("Timeout", strconv.FormatInt(timeout.Milliseconds(), 10))
	}
	return (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
}

// send sends a request and returns the response, the body and whether the body was complete.
func (g *gateway) send(t *testing.T, path, key string) (response *http.Response, body string, complete bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.url+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", key)
	transport := &http.Transport{DisableKeepAlives: true}
	response, err = transport.RoundTrip(request)
	if err != nil {
		return &http.Response{}, "", false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err == nil
}
