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
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/retry"
	"github.com/comfreyrail/comfreyrail/rail/route"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// server is a backend server whose behaviour for its n-th request a test sets.
type server struct {
	id, address string
	behave      func(conn net.Conn, request *http.Request, n int)

	mu   sync.Mutex
	seen []*http.Request
}

func newServer(t *testing.T, id string, behave func(conn net.Conn, request *http.Request, n int)) *server {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &server{id: id, address: listener.Addr().String(), behave: behave}
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
		s.seen = append(s.seen, request)
		n := len(s.seen)
		s.mu.Unlock()
		s.behave(conn, request, n)
	}
}

func (s *server) runs() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.seen)
}

func (s *server) request(n int) *http.Request {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[n]
}

// Behaviours of servers.
func serves(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 2\r\n\r\nok", request.Header.Get("Id"))
}

func breaks(conn net.Conn, _ *http.Request, _ int) { _ = conn.Close() }

func refuses(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 503 Full\r\nId: %s\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
}

func foreign(conn net.Conn, _ *http.Request, _ int) {
	_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: another\r\nContent-Length: 2\r\n\r\nno")
}

func truncates(conn net.Conn, request *http.Request, _ int) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 9\r\n\r\nok", request.Header.Get("Id"))
	_ = conn.Close()
}

func hangs(net.Conn, *http.Request, int) { time.Sleep(time.Second) }

// gateway is a Forwarder behind a listener, with the store's word as old as a test says.
type gateway struct {
	url string
	age atomic.Int64
}

func quiet() *logrus.Entry {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return logrus.NewEntry(logger)
}

// newGateway returns a gateway with a route of each kind to the servers.
func newGateway(t *testing.T, change func(*route.Config), servers ...*server) *gateway {
	t.Helper()
	g := &gateway{}
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
	if change != nil {
		change(&config)
	}
	known := newCatalog(t, g, config, servers)
	registry := metrics.NewRegistry()
	f := New(Config{
		Catalog: known, Upstream: upstream.New(upstream.Config{DialTimeout: time.Second}), Log: quiet(), Metrics: registry,
		MaxConfigAge: 4 * time.Second, StaleAfter: 2 * time.Second,
		Retries: NewBudgets(BudgetConfig{Window: retry.WindowConfig{Ratio: 1, Burst: 100, Period: 10 * time.Second}, Instances: func() int { return 1 }}),
		PeerUsage: func(time.Time) func(string) (pipeline.Usage, bool) {
			return func(string) (pipeline.Usage, bool) { return pipeline.Usage{}, true }
		},
		ReadRequest: readRequest, WriteBackendRequest: writeForward, ReadResponse: readAnswer,
		FetchState: func(context.Context, backend.Server) (backend.State, error) { return backend.State{}, nil },
		Reroute:    func(context.Context, backend.Server, string, []call.Stage) error { return nil },
	})
	front := httptest.NewServer(f)
	t.Cleanup(front.Close)
	g.url = front.URL
	return g
}

func readRequest(header http.Header) call.Request {
	return call.Request{ID: header.Get("Id"), Key: header.Get("Key"), LastEventID: header.Get("Last-Event-Id")}
}

func writeForward(header http.Header, forward call.BackendRequest) {
	header.Del("Key")
	header.Set("Workspace", forward.Workspace)
	header.Set("Deadline", strconv.FormatInt(forward.Timeout.Milliseconds(), 10))
	if forward.LastEventID != "" {
		header.Set("Last-Event-Id", forward.LastEventID)
	}
}

func readAnswer(_ int, header http.Header) call.Response {
	return call.Response{ID: header.Get("Id"), NotRun: header.Get("Not-Run") != ""}
}

// newCatalog returns a catalog that has read the configuration and the servers once.
func newCatalog(t *testing.T, g *gateway, config route.Config, servers []*server) *catalog.Catalog {
	t.Helper()
	items := []store.Item{{Key: "config", Revision: 1}}
	for i, s := range servers {
		value, err := json.Marshal(backend.Server{ID: s.id, Service: "app", Address: s.address, Slots: 4})
		if err != nil {
			t.Fatal(err)
		}
		items = append(items, store.Item{Key: "servers/" + s.id, Value: value, Revision: uint64(i + 2)})
	}
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
		FetchChanges: func(context.Context, string, uint64) (catalog.Changes, error) {
			return catalog.Changes{}, store.ErrUnavailable
		},
		ConfigKey:    "config",
		DecodeConfig: func([]byte) (route.Config, error) { return config, nil },
		ServerID:     func(key string) (string, bool) { return strings.CutPrefix(key, "servers/") },
		DecodeServer: func(_ string, value []byte) (decoded backend.Server, err error) {
			err = json.Unmarshal(value, &decoded)
			return decoded, err
		},
		WatchInterval: time.Millisecond, Log: quiet(),
		Elapsed: func() time.Duration { return time.Duration(g.age.Load()) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = known.Serve(ctx) }()
	<-read
	return known
}

// ask sends a request and returns the status, the body and whether it was whole.
func (g *gateway) ask(t *testing.T, path, key string) (answer *http.Response, body string, whole bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.url+path, strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	request.Header.Set("Key", key)
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err = transport.RoundTrip(request)
	if err != nil {
		return &http.Response{}, "", false
	}
	defer func() { _ = answer.Body.Close() }()
	content, err := io.ReadAll(answer.Body)
	return answer, string(content), err == nil
}

// What may run once reaches one server at most, and a refusal that promises "not run" is given only while that is sure.
func TestPlainRequests(t *testing.T) {
	tests := []struct {
		name, path    string
		first, second func(net.Conn, *http.Request, int)
		status        int
		runs          int // requests that reached both servers
	}{
		{"served", "/once/", serves, serves, 200, 1},
		{"once: broken after it was sent", "/once/", breaks, breaks, 502, 1},
		{"once: surely not run", "/once/", refuses, refuses, 503, 1},
		{"once: another request's answer", "/once/", foreign, foreign, 502, 1},
		{"once: not whole", "/once/", truncates, truncates, 502, 1},
		{"once: no answer in time", "/once/", hangs, hangs, 504, 1},
		{"safe: broken at both", "/safe/", breaks, breaks, 502, 2},
		{"safe: refused by both", "/safe/", refuses, refuses, 503, 2},
		{"safe: not whole at both", "/safe/", truncates, truncates, 502, 2},
		{"no route", "/none/", serves, serves, 404, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			first, second := newServer(t, "first", test.first), newServer(t, "second", test.second)
			answer, _, _ := newGateway(t, nil, first, second).ask(t, test.path, "")
			if answer.StatusCode != test.status {
				t.Errorf("got status %d, want %d", answer.StatusCode, test.status)
			}
			if got := first.runs() + second.runs(); got != test.runs {
				t.Errorf("got %d requests at the servers, want %d", got, test.runs)
			}
			if got := answer.Header.Get("Retry-After") != ""; got != (test.status == http.StatusServiceUnavailable) {
				t.Errorf("got Retry-After %v with status %d, want it where nothing ran", got, answer.StatusCode)
			}
		})
	}
}

func TestSafeRequestsGoToAnotherServer(t *testing.T) {
	for _, first := range []func(net.Conn, *http.Request, int){breaks, refuses, truncates, foreign} {
		failed := false
		var mu sync.Mutex
		behave := func(conn net.Conn, request *http.Request, n int) {
			mu.Lock()
			fail := !failed
			failed = true
			mu.Unlock()
			if fail {
				first(conn, request, n)
				return
			}
			serves(conn, request, n)
		}
		g := newGateway(t, nil, newServer(t, "first", behave), newServer(t, "second", behave))
		if answer, body, _ := g.ask(t, "/safe/", ""); answer.StatusCode != http.StatusOK || body != "ok" {
			t.Errorf("got status %d, body %q, want the second server's answer", answer.StatusCode, body)
		}
	}
}

// A request of a route with two services stays at the one that it was first sent to, whose budget bounds its repeats.
func TestAttemptsStayAtOneService(t *testing.T) {
	split := func(config *route.Config) {
		config.Services = append(config.Services, route.Service{Name: "empty"})
		config.Routes[1].Services = []route.WeightedService{{Service: "app", Weight: 1}, {Service: "empty", Weight: 1}}
	}
	for range 20 {
		first, second := newServer(t, "first", breaks), newServer(t, "second", breaks)
		newGateway(t, split, first, second).ask(t, "/safe/", "")
		if got := first.runs() + second.runs(); got == 1 {
			t.Error("got one attempt, want none or both at the service's two servers")
		}
	}
}

func TestKeys(t *testing.T) {
	withKeys := func(config *route.Config) {
		config.Workspaces = []route.Workspace{{Name: "mill", Keys: []string{"good"}}}
		config.Routes[0].Public = true
	}
	tests := []struct {
		name, path, key string
		age             time.Duration
		status, runs    int
	}{
		{"a key", "/safe/", "good", 0, 200, 1},
		{"no key", "/safe/", "", 0, 401, 0},
		{"an unknown key", "/safe/", "bad", 0, 401, 0},
		{"a public route", "/once/", "", 0, 200, 1},
		{"a key, the store silent for a while", "/safe/", "good", 3 * time.Second, 200, 1},
		{"an unknown key then", "/safe/", "bad", 3 * time.Second, 503, 0},
		{"an unknown route then", "/none/", "good", 3 * time.Second, 503, 0},
		{"a key, the store silent for long", "/safe/", "good", 5 * time.Second, 503, 0},
		{"a public route then", "/once/", "", 5 * time.Second, 200, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newServer(t, "only", serves)
			g := newGateway(t, withKeys, s)
			g.age.Add(int64(test.age))
			answer, _, _ := g.ask(t, test.path, test.key)
			if answer.StatusCode != test.status || s.runs() != test.runs {
				t.Errorf("got status %d and %d runs, want %d and %d", answer.StatusCode, s.runs(), test.status, test.runs)
			}
			if s.runs() > 0 && s.request(0).Header.Get("Key") != "" {
				t.Error("got the caller's key at the server, want it kept here")
			}
		})
	}
}

// An instance that knows no configuration refuses for a while, longer the longer that has lasted.
func TestNoConfiguration(t *testing.T) {
	known := catalog.New(catalog.Config{Log: logrus.NewEntry(logrus.New())})
	tests := []struct {
		since time.Duration
		want  string
	}{{0, "0.05"}, {time.Second, "1.00"}, {time.Minute, "3.00"}}
	for _, test := range tests {
		logger := logrus.New()
		logger.SetOutput(io.Discard)
		f := New(Config{Catalog: known, ReadRequest: readRequest, Log: logrus.NewEntry(logger), Metrics: metrics.NewRegistry()})
		f.began = time.Now().Add(-test.since)
		recorder := httptest.NewRecorder()
		f.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "/safe/", http.NoBody))
		if got := recorder.Header().Get("Retry-After"); recorder.Code != http.StatusServiceUnavailable || got != test.want {
			t.Errorf("after %v: got status %d, Retry-After %q, want 503 and %q", test.since, recorder.Code, got, test.want)
		}
	}
}

// event writes one event as a chunk.
func eventText(conn net.Conn, id int, text string) {
	content := fmt.Sprintf("id: %d\ndata: %s\n\n", id, text)
	_, _ = fmt.Fprintf(conn, "%x\r\n%s\r\n", len(content), content)
}

func beginStream(conn net.Conn, request *http.Request) {
	_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
}

// counting streams events up to the fifth; a run that begins at the first breaks within the third.
func counting(conn net.Conn, request *http.Request, _ int) {
	last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
	beginStream(conn, request)
	for id := last + 1; id <= 5; id++ {
		if last == 0 && id == 3 {
			_, _ = io.WriteString(conn, "5\r\nid: 3\r\n")
			_ = conn.Close()
			return
		}
		eventText(conn, id, strconv.Itoa(id))
	}
	_, _ = io.WriteString(conn, "0\r\n\r\n")
}

func TestStreamsGoOnAtAnotherServer(t *testing.T) {
	g := newGateway(t, nil, newServer(t, "first", counting), newServer(t, "second", counting))
	answer, body, whole := g.ask(t, "/stream/", "")
	want := ""
	for id := 1; id <= 5; id++ {
		want += fmt.Sprintf("id: %d\ndata: %d\n\n", id, id)
	}
	if answer.StatusCode != http.StatusOK || body != want || !whole {
		t.Errorf("got status %d, whole %v, body %q, want every event once: %q", answer.StatusCode, whole, body, want)
	}
}

// A server that begins anew instead of going on makes no event come twice.
func TestResumedStreamsRepeatNoEvent(t *testing.T) {
	var runs atomic.Int32
	behave := func(conn net.Conn, request *http.Request, _ int) {
		first := runs.Add(1) == 1
		beginStream(conn, request)
		for id := 1; id <= 5; id++ {
			if first && id == 3 {
				_ = conn.Close()
				return
			}
			eventText(conn, id, "x")
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	g := newGateway(t, nil, newServer(t, "first", behave), newServer(t, "second", behave))
	_, body, whole := g.ask(t, "/stream/", "")
	for id := 1; id <= 5; id++ {
		if got := strings.Count(body, fmt.Sprintf("id: %d\n", id)); got != 1 || !whole {
			t.Errorf("got event %d %d times, whole %v, want once: %q", id, got, whole, body)
		}
	}
}

// A stream that may not be resumed runs once, and one that broke off never looks whole.
func TestStreamsThatMayNotBeResumed(t *testing.T) {
	first, second := newServer(t, "first", counting), newServer(t, "second", counting)
	_, body, whole := newGateway(t, nil, first, second).ask(t, "/single/", "")
	if got := first.runs() + second.runs(); got != 1 {
		t.Errorf("got %d runs, want 1", got)
	}
	if whole || strings.Contains(body, "id: 3") {
		t.Errorf("got %q, whole %v, want it to break off after the second event", body, whole)
	}
}

func TestTheServersHearThatTheCallerHasLeft(t *testing.T) {
	left := make(chan struct{})
	s := newServer(t, "only", func(conn net.Conn, request *http.Request, _ int) {
		beginStream(conn, request)
		eventText(conn, 1, "x")
		_, _ = conn.Read(make([]byte, 1))
		close(left)
	})
	g := newGateway(t, nil, s)
	ctx, cancel := context.WithCancel(context.Background())
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+"/stream/", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", "r1")
	answer, err := http.DefaultClient.Do(request)
	if err != nil {
		t.Fatal(err)
	}
	cancel()
	_ = answer.Body.Close()
	<-left
}

// A stopping instance takes everything while the balancer may send a refused caller back to it, and then what can end.
// A hundred callers that are refused at one moment come back over as long a time as they were told to wait at least.
func TestRetryAfterSpreadsTheReturn(t *testing.T) {
	seconds := make(map[string]bool)
	for range 100 {
		recorder := httptest.NewRecorder()
		refuse(recorder, (&job{}).exhausted("no-room"))
		after, err := strconv.ParseFloat(recorder.Header().Get("Retry-After"), 64)
		if err != nil || after < retryAfter.Seconds() || after > 2*retryAfter.Seconds() {
			t.Fatalf("got Retry-After %v, %v, want %v to twice that", after, err, retryAfter)
		}
		seconds[recorder.Header().Get("Retry-After")] = true
	}
	if got, want := len(seconds), 15; got < want {
		t.Errorf("got %d moments of return, want %d at least", got, want)
	}
}

// A server takes so many connections from all instances and resets the others: what instances keep idle must leave each of
// them one for the next request.
func TestKeepSharesTheConnectionsOfAServer(t *testing.T) {
	tests := []struct{ connections, instances, want int }{
		{110, 72, 0}, {52, 9, 4}, {96, 6, 15}, {1058, 6, mostKept}, {96, 0, mostKept}, {0, 72, mostKept}, {10, 72, 0},
	}
	for _, test := range tests {
		got := (&Forwarder{}).keep(&route.Service{MaxConnections: test.connections}, test.instances)
		if got != test.want {
			t.Errorf("%d connections, %d instances: got %d, want %d", test.connections, test.instances, got, test.want)
		}
		if all := (got + 1) * test.instances; test.connections >= test.instances && test.connections > 0 && all > test.connections {
			t.Errorf("%d instances with %d each make %d connections, want %d at most", test.instances, got+1, all, test.connections)
		}
	}
}

// A jump of the time of day must neither cut a stop short nor draw it out: its times keep the steady clock's reading.
func TestStopKeepsTheSteadyClock(t *testing.T) {
	f := &Forwarder{}
	now := time.Now()
	f.PlanStop(now, now.Add(time.Minute))
	planned := f.stop.Load()
	for _, at := range []time.Time{planned.lag, planned.cut} {
		if got, want := at.String(), " m="; !strings.Contains(got, want) {
			t.Errorf("got %s, want a reading of the steady clock", got)
		}
	}
}

func TestARequestIsRefusedThatCannotEndBeforeTheStop(t *testing.T) {
	f := &Forwarder{}
	f.tokenTime.Store(int64(10 * time.Millisecond))
	stream := &route.Route{Kind: route.Stream, LatencyTarget: 500 * time.Millisecond}
	tests := []struct {
		lag    time.Duration
		tokens int
		want   bool
	}{{0, 100, true}, {0, 400, false}, {time.Minute, 400, true}}
	for _, test := range tests {
		f.PlanStop(time.Now().Add(test.lag), time.Now().Add(4*time.Second))
		if got := f.endsInTime(&job{route: stream, request: call.Request{LengthHint: test.tokens}}); got != test.want {
			t.Errorf("%d tokens, lag %v: got %v, want %v", test.tokens, test.lag, got, test.want)
		}
	}
}

func TestBudgetsBoundRepeats(t *testing.T) {
	b := NewBudgets(BudgetConfig{Window: retry.WindowConfig{Ratio: 0.2, Burst: 20, Period: time.Minute}, Instances: func() int { return 2 }})
	for range 100 {
		b.CountRequest("app")
	}
	allowed := 0
	for range 1000 {
		if b.Allow("app") {
			allowed++
		}
	}
	if want := 20 + 5; allowed != want {
		t.Errorf("got %d repeats, want a fifth of the requests and a part of the burst: %d", allowed, want)
	}
}
