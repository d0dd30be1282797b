package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Load and bounds of the tests with crashing requests.
const (
	// crashingInterval is the time between two requests with crashingBody.
	crashingInterval = 100 * time.Millisecond
	// soundInterval is the time between two sound requests.
	soundInterval = 25 * time.Millisecond
	// stableTime is the time after the third crash from which arrivals count.
	stableTime = 3 * time.Second
	// countedTime is how long arrivals are counted after that.
	countedTime = 2500 * time.Millisecond
	// maxArrivals is the number of arrivals that may count.
	maxArrivals = 3
)

// newConnectedGateways returns gateways that share the store and what they announce.
func newConnectedGateways(t *testing.T, s *sharedStore, count int, config func(*route.Config)) []*gateway {
	t.Helper()
	var mu sync.RWMutex
	gateways := make([]*gateway, count)
	mu.Lock()
	defer mu.Unlock()
	for i := range gateways {
		name := fmt.Sprint("instance", i)
		announce := func(content []byte) {
			mu.RLock()
			defer mu.RUnlock()
			for other, g := range gateways {
				if other != i {
					g.forwarder.EnginesCrashed(g.keeper.Announced(name, content))
				}
			}
		}
		gateways[i] = newGatewayWith(t, gatewayOptions{config: config, announce: announce, store: s, name: name})
	}
	return gateways
}

// post sends a request and reports whether the answer was whole and a success.
func (g *gateway) post(ctx context.Context, path, id, body string) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, g.url+path, strings.NewReader(body))
	if err != nil {
		return false
	}
	request.Header.Set("Id", id)
	response, err := (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	return err == nil && response.StatusCode == http.StatusOK
}

// soundLoad counts sound requests from a time on.
type soundLoad struct{ sent, served, hotSent, hotServed atomic.Int32 }

// send sends sound requests at the gateways until the context ends, of which each third is the same. Those that are sent after the time
// from are counted.
func (l *soundLoad) send(ctx context.Context, gateways []*gateway, path string, from func() bool) {
	var requests sync.WaitGroup
	defer requests.Wait()
	for n := 0; ctx.Err() == nil; n++ {
		body, sent, served := fmt.Sprint("sound", n), &l.sent, &l.served
		if n%3 == 0 {
			body, sent, served = "hot", &l.hotSent, &l.hotServed
		}
		counted := from()
		requests.Go(func() {
			ok := gateways[n%len(gateways)].post(context.WithoutCancel(ctx), path, fmt.Sprint("sound", n), body)
			if counted {
				sent.Add(1)
			}
			if counted && ok {
				served.Add(1)
			}
		})
		time.Sleep(soundInterval)
	}
}

// partsOfAnswer returns functions that send the begin of a response, by name.
var partsOfAnswer = map[string]func(net.Conn, *http.Request){
	"silent": nil,
	"head": func(conn net.Conn, request *http.Request) {
		if isStream(request) {
			writeStreamHeader(conn, request)
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 8\r\n\r\n", request.Header.Get("Id"))
	},
	"half": func(conn net.Conn, request *http.Request) {
		if isStream(request) {
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			writeStreamHeader(conn, request)
			writeEvent(conn, last+1, "half")
			return
		}
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 8\r\n\r\nhalf", request.Header.Get("Id"))
	},
	"half without a length": func(conn net.Conn, request *http.Request) {
		last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nid: %d\ndata: half\n\n", request.Header.Get("Id"), last+1)
	},
	"much": func(conn net.Conn, request *http.Request) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nContent-Length: 100000\r\n\r\n%s", request.Header.Get("Id"), strings.Repeat("a", 90000))
	},
}

// Guards against a request that crashes each server which begins to run it, and that is sent to server after server whenever it comes
// again, at whichever instance, so that none is left for sound requests.
func TestCrashingRequestReachesFewServers(t *testing.T) {
	tests := []struct{ path, part, card string }{
		{"/safe/", "silent", ""},
		{"/safe/", "head", ""},
		{"/safe/", "half", ""},
		{"/safe/", "half without a length", ""},
		{"/safe/", "much", ""},
		{"/once/", "silent", ""},
		{"/once/", "head", ""},
		{"/once/", "half", ""},
		{"/stream/", "silent", ""},
		{"/single/", "half", ""},
		{"/stream/", "half without a length", ""},
		{"/stream/", "half", "card"},
		{"/single/", "head", "card"},
	}
	for _, test := range tests {
		t.Run(test.path+test.part+test.card, func(t *testing.T) {
			t.Parallel()
			s := newSharedStore(nil)
			servers := newFragileServers(t, s, 6, test.card, partsOfAnswer[test.part])
			var config func(*route.Config)
			if test.card != "" {
				config = useEngines
			}
			checkCrashingRequest(t, servers, newConnectedGateways(t, s, 3, config), test.path)
		})
	}
}

// checkCrashingRequest sends requests under which servers crash beside sound ones, and checks how many arrive at servers later than
// stableTime after the third crash, and that the sound ones are served then.
func checkCrashingRequest(t *testing.T, servers *fragileServers, gateways []*gateway, path string) {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	isStable := func() bool {
		third, ok := servers.crash(3)
		return ok && time.Since(third) > stableTime
	}
	var load soundLoad
	var senders sync.WaitGroup
	senders.Go(func() { load.send(ctx, gateways, path, isStable) })
	for n, deadline := 0, time.Now().Add(10*time.Second); time.Now().Before(deadline); n++ {
		senders.Go(func() { gateways[n%len(gateways)].post(t.Context(), path, fmt.Sprint("crashing", n), crashingBody) })
		if third, ok := servers.crash(3); ok && time.Since(third) > stableTime+countedTime {
			break
		}
		time.Sleep(crashingInterval)
	}
	cancel()
	senders.Wait()
	third, ok := servers.crash(3)
	if !ok {
		t.Fatal("got fewer than three crashes")
	}
	servers.mu.Lock()
	t.Logf("%d arrivals, %d crashes", len(servers.arrivals), len(servers.crashes))
	servers.mu.Unlock()
	if got := servers.arrived(third.Add(stableTime)); got > maxArrivals {
		t.Errorf("got %d arrivals later than %v after the third crash, want %d at most", got, stableTime, maxArrivals)
	}
	for _, kind := range []struct {
		name         string
		sent, served int32
	}{{"sound", load.sent.Load(), load.served.Load()}, {"hot", load.hotSent.Load(), load.hotServed.Load()}} {
		if kind.sent == 0 || kind.served < kind.sent*9/10 {
			t.Errorf("got %d of %d %s requests served, want nine tenths", kind.served, kind.sent, kind.name)
		}
	}
}
