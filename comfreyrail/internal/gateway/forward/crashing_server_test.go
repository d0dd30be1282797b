package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Guards against sound requests being blocked because they come often, alike, while servers crash by chance.
func TestSoundRequestsSurviveChanceCrashes(t *testing.T) {
	const crashes, interval = 8, 350 * time.Millisecond
	s := newSharedStore(nil)
	servers := newFragileServers(t, s, 12, "", nil)
	gateways := newConnectedGateways(t, s, 3, nil)
	ctx, cancel := context.WithCancel(t.Context())
	var over atomic.Bool
	var load soundLoad
	var sender sync.WaitGroup
	sender.Go(func() { load.send(ctx, gateways, "/safe/", over.Load) })
	for n := range crashes {
		time.Sleep(interval)
		servers.crashAny(n)
	}
	time.Sleep(fragileDownTime)
	over.Store(true)
	time.Sleep(time.Second)
	cancel()
	sender.Wait()
	for _, counts := range [][2]int32{{load.sent.Load(), load.served.Load()}, {load.hotSent.Load(), load.hotServed.Load()}} {
		if counts[0] == 0 || counts[1] != counts[0] {
			t.Errorf("got %d of %d requests served after the crashes, want all", counts[1], counts[0])
		}
	}
}

// Guards against an instance that starts after the crashes, or that knows of them from the store alone, and sends the request again.
func TestLaterInstanceBlocksCrashingRequest(t *testing.T) {
	s := newSharedStore(nil)
	servers := newFragileServers(t, s, 4, "", nil)
	first := newGatewayWith(t, gatewayOptions{store: s, name: "first"})
	for n := range poison.MinRequestCrashes {
		first.post(t.Context(), "/once/", fmt.Sprint("crashing", n), crashingBody)
	}
	later := newGatewayWith(t, gatewayOptions{store: s, name: "later"})
	request := poison.Request{Digest: poison.Digest(http.MethodPost, "127.0.0.1", "/once/", "", []byte(crashingBody))}
	isBlocked := func() bool {
		_, ok := later.keeper.Blocked(request)
		return ok
	}
	for deadline := time.Now().Add(stableTime); !isBlocked() && time.Now().Before(deadline); {
		time.Sleep(10 * time.Millisecond)
	}
	later.post(t.Context(), "/once/", "crashing", crashingBody)
	if got := servers.arrived(time.Time{}); got != poison.MinRequestCrashes {
		t.Errorf("got %d arrivals, want %d: those at the first instance", got, poison.MinRequestCrashes)
	}
}

// blockAtOnce makes a gateway block the request that send sends to the path.
func blockAtOnce(t *testing.T, g *gateway, path, key string) {
	t.Helper()
	request := poison.Request{Digest: poison.Digest(http.MethodPost, "127.0.0.1", path, key, []byte("question"))}
	for i := range poison.MinRequestCrashes {
		if !g.keeper.ConnectionEnded(context.Background(), refusingServer(t, i), request, false) {
			t.Fatal("got no crash")
		}
	}
}

// Guards against a blocked request that is held back, or told that it has not run when it may have, on each kind of route, and against
// one of another caller or with another query that is refused with it.
func TestBlockedRequestIsAnsweredAtOnce(t *testing.T) {
	for _, path := range []string{"/safe/a?b=1", "/once/a?b=1", "/stream/a?b=1", "/single/a?b=1"} {
		server := newServer(t, "one", func(conn net.Conn, request *http.Request, _ int) {
			if isStream(request) {
				writeStreamHeader(conn, request)
				writeEvent(conn, 1, "text")
				_, _ = io.WriteString(conn, "0\r\n\r\n")
				return
			}
			respondOK(conn, request, 0)
		})
		g := newGateway(t, nil, server)
		blockAtOnce(t, g, path, "k1")
		began := time.Now()
		response, _, _ := g.send(t, path, "k1")
		if response.StatusCode != http.StatusServiceUnavailable || response.Header.Get("Retry-After") == "" || time.Since(began) > time.Second {
			t.Errorf("%s: got status %d, Retry-After %q after %v, want 503 and a delay at once", path, response.StatusCode, response.Header.Get("Retry-After"), time.Since(began))
		}
		if got := server.received(); got != 0 {
			t.Errorf("%s: got %d requests at the server, want none", path, got)
		}
		for _, other := range []struct{ path, key string }{{path, "k2"}, {path + "2", "k1"}} {
			if response, _, _ = g.send(t, other.path, other.key); response.StatusCode != http.StatusOK {
				t.Errorf("%s of %s: got status %d, want it served", other.path, other.key, response.StatusCode)
			}
		}
	}
}

// Guards against a second attempt of a request under which a third server has crashed in its first, and against its caller being told
// that it has not run.
func TestRequestIsBlockedBetweenAttempts(t *testing.T) {
	crash := func(s *server) {
		s.respond = func(conn net.Conn, _ *http.Request, _ int) {
			_ = s.listener.Close()
			_ = conn.Close()
		}
	}
	var servers []*server
	for i := range 4 {
		s := newServer(t, fmt.Sprint("server", i), nil)
		crash(s)
		servers = append(servers, s)
	}
	g := newGateway(t, nil, servers...)
	g.send(t, "/safe/", "")
	response, _, _ := g.send(t, "/safe/", "")
	if got, want := response.StatusCode, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d: the request may have run", got, want)
	}
	arrivals := 0
	for _, s := range servers {
		arrivals += s.received()
	}
	if arrivals != poison.MinRequestCrashes {
		t.Errorf("got %d arrivals, want %d", arrivals, poison.MinRequestCrashes)
	}
}

// Guards against half of a response without a length being passed on as the whole one because the server that crashed ended its
// connection.
func TestUnframedResponseOfCrashedServerIsNotWhole(t *testing.T) {
	for _, size := range []int{4, 60 << 10} {
		half := strings.Repeat("h", size)
		var servers []*server
		for i := range 2 {
			s := newServer(t, fmt.Sprint("server", i), nil)
			s.respond = func(conn net.Conn, request *http.Request, _ int) {
				_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n%s", request.Header.Get("Id"), half)
				_ = s.listener.Close()
				_ = conn.Close()
			}
			servers = append(servers, s)
		}
		response, _, complete := newGateway(t, nil, servers...).send(t, "/safe/", "")
		if complete && response.StatusCode == http.StatusOK {
			t.Errorf("%d bytes: got half of a response as a whole one, want none", size)
		}
	}
}

// Guards against answers that say nothing being taken for proof that a request is sound: refusals, errors of a failing server and parts.
func TestOnlyWholeAnswersClearRequest(t *testing.T) {
	respondError := func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 500 Error\r\nId: %s\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Id"))
	}
	tests := []struct {
		name    string
		respond func(net.Conn, *http.Request, int)
		clears  bool
	}{
		{"success", respondOK, true},
		{"not run", respondNotRun, false},
		{"error", respondError, false},
		{"truncated", respondTruncated, false},
		{"another request's answer", respondWrongID, false},
	}
	for _, test := range tests {
		g := newGateway(t, nil, newServer(t, "one", test.respond))
		g.send(t, "/safe/", "")
		blockAtOnce(t, g, "/safe/", "")
		_, blocked := g.keeper.Blocked(poison.Request{Digest: poison.Digest(http.MethodPost, "127.0.0.1", "/safe/", "", []byte("question"))})
		if blocked == test.clears {
			t.Errorf("%s: got blocked %v, want %v", test.name, blocked, !test.clears)
		}
	}
}

// Guards against servers that are silent, or that end connections and live on, counting as crashed.
func TestLiveServersDoNotCrash(t *testing.T) {
	for name, respond := range map[string]func(net.Conn, *http.Request, int){"silent": respondNothing, "closes": closeConnection} {
		var servers []*server
		for i := range 4 {
			servers = append(servers, newServer(t, fmt.Sprint("server", i), respond))
		}
		g := newGateway(t, nil, servers...)
		for range 3 {
			g.send(t, "/safe/", "")
		}
		if response, _, _ := g.send(t, "/safe/", ""); response.StatusCode == http.StatusServiceUnavailable {
			t.Errorf("%s: got the request refused, want it sent", name)
		}
	}
}

// Guards against a crash that is not seen because the next incarnation of the server accepts connections before the probe.
func TestCrashOfServerThatIsBackAtOnceCounts(t *testing.T) {
	s := newSharedStore(nil)
	servers := newFragileServers(t, s, 5, "", nil)
	servers.downTime = 0
	g := newGatewayWith(t, gatewayOptions{store: s, name: "self"})
	for n := range 8 {
		g.post(t.Context(), "/once/", fmt.Sprint("crashing", n), crashingBody)
		time.Sleep(500 * time.Millisecond) // until the entries have been looked at
	}
	if got, want := servers.arrived(time.Time{}), poison.MinRequestCrashes; got != want {
		t.Errorf("got %d arrivals, want %d", got, want)
	}
}

// Guards against a large body, or one that comes in pieces without a length, that gives a request another digest.
func TestDigestOfPiecesIsThatOfWhole(t *testing.T) {
	body := strings.Repeat("0123456789abcdef", 64<<10)
	g := newGatewayWith(t, gatewayOptions{config: func(config *route.Config) { config.Limits.MaxBodyBytes = 4 << 20 }}, newServer(t, "one", respondOK))
	digest := poison.Digest(http.MethodPost, "127.0.0.1", "/safe/", "", []byte(body))
	for i := range poison.MinRequestCrashes {
		g.keeper.ConnectionEnded(context.Background(), refusingServer(t, i), poison.Request{Digest: digest}, false)
	}
	for name, reader := range map[string]io.Reader{"whole": strings.NewReader(body), "pieces": io.MultiReader(strings.NewReader(body[:1000]), strings.NewReader(body[1000:]))} {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost, g.url+"/safe/", reader)
		if err != nil {
			t.Fatal(err)
		}
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if got, want := response.StatusCode, http.StatusServiceUnavailable; got != want {
			t.Errorf("%s: got status %d, want %d: the request is blocked", name, got, want)
		}
	}
}
