package forward

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// Parts of the prompts of the tests.
const (
	sharedPart   = "5c1e07a2:40"
	poisonedPart = "91bd3f06:165"
)

// crashingEngines returns engines of a model of one layer that crash when they begin an answer to a prompt with poisonedPart, after
// they have sent the given begin of it. It counts the crashes.
func crashingEngines(t *testing.T, count int, crashes *atomic.Int32, begin func(net.Conn, *http.Request)) (engines []*server) {
	t.Helper()
	for i := range count {
		engine := newServer(t, fmt.Sprintf("engine%d", i), nil)
		engine.card = "card"
		engine.respond = func(conn net.Conn, request *http.Request, _ int) {
			if strings.Contains(request.Header.Get("Prefix"), poisonedPart) {
				begin(conn, request)
				crashes.Add(1)
				_ = engine.listener.Close()
				_ = conn.Close()
				return
			}
			writeStreamHeader(conn, request)
			writeEvent(conn, 1, "text")
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		}
		engines = append(engines, engine)
	}
	return engines
}

// useEngines makes the service one of engines.
func useEngines(config *route.Config) {
	config.Services[0].Engine = &backend.EngineSpec{
		Layers: 1, LayerMB: 1, KVTokenBytes: 1, StepsPerPass: 1, MeanOutputTokens: 1, Cards: []backend.Card{{Name: "card", MemoryMB: 1000, DecodeFactor: 1, PrefillFactor: 1}},
	}
}

// sendPrompt sends a request with the parts of a prompt and reports whether the answer had an event and was complete.
func (g *gateway) sendPrompt(t *testing.T, id string, parts ...string) bool {
	t.Helper()
	_, body, complete := g.sendParts(t, id, parts...)
	return complete && strings.Contains(body, "data: text")
}

// sendParts sends a request with the parts of a prompt and returns the response, its body and whether that was complete.
func (g *gateway) sendParts(t *testing.T, id string, parts ...string) (response *http.Response, body string, complete bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.url+"/stream/", strings.NewReader("question"))
	if err != nil {
		t.Fatal(err)
	}
	request.Header.Set("Id", id)
	request.Header.Set("Prefix", strings.Join(parts, ","))
	response, err = (&http.Transport{DisableKeepAlives: true}).RoundTrip(request)
	if err != nil {
		return &http.Response{}, "", false
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	return response, string(content), err == nil
}

// Guards against a stream that ends with its connection, before any event, being passed on as complete: an engine that crashes
// ends it in that way too. A resumed stream may have no events left.
func TestUnframedStreamWithoutEventsIsBrokenOff(t *testing.T) {
	var runs atomic.Int32
	respond := func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		if runs.Add(1) > 1 {
			_, _ = io.WriteString(conn, "id: 1\ndata: text\n\n")
		}
		_ = conn.Close()
	}
	g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
	if !g.sendPrompt(t, "r1", "part") {
		t.Errorf("got an answer without events after %d runs, want the second server's", runs.Load())
	}
}

// Guards against a prompt part that crashes each engine which begins an answer to it: request after request with it is sent to
// the engines that are left, and none remains for sound requests that share the other parts.
func TestPoisonedPromptCrashesFewEngines(t *testing.T) {
	const (
		requests = 15
		// maxCrashes is the number of crashes after which the part must be known, and three more.
		maxCrashes = 5 + 3
	)
	begin := func(events int, pause time.Duration) func(net.Conn, *http.Request) {
		return func(conn net.Conn, request *http.Request) {
			writeStreamHeader(conn, request)
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			for id := last + 1; id <= last+events; id++ {
				writeEvent(conn, id, "poisoned")
				time.Sleep(pause)
			}
		}
	}
	beginUnframed := func(rest string) func(net.Conn, *http.Request) {
		return func(conn net.Conn, request *http.Request) {
			last, _ := strconv.Atoi(request.Header.Get("Last-Event-Id"))
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nid: %d\ndata: poisoned\n\n%s", request.Header.Get("Id"), last+1, rest)
		}
	}
	tests := []struct {
		name  string
		begin func(net.Conn, *http.Request)
	}{
		{"headers", writeStreamHeader},
		{"an event", begin(1, 0)},
		{"three events", begin(3, 20*time.Millisecond)},
		{"an event and silence", begin(1, 300*time.Millisecond)},
		{"an event without a length", beginUnframed("")},
		{"an event and a half without a length", beginUnframed("id: 9")},
		{"half an event without a length", func(conn net.Conn, request *http.Request) {
			_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\nid: 1\nda", request.Header.Get("Id"))
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var crashes atomic.Int32
			g := newGateway(t, useEngines, crashingEngines(t, 2*requests+1, &crashes, test.begin)...)
			for i := range requests {
				g.sendPrompt(t, fmt.Sprintf("poisoned%d", i), sharedPart, poisonedPart, fmt.Sprintf("aa%d:100", i))
				id := fmt.Sprintf("sound%d", i)
				if !g.sendPrompt(t, id, sharedPart, fmt.Sprintf("bb%d:100", i)) {
					t.Errorf("got %s refused or failed, want every sound request served", id)
				}
			}
			if got := int(crashes.Load()); got > maxCrashes {
				t.Errorf("got %d engines crashed, want %d at most", got, maxCrashes)
			}
		})
	}
}

// Guards against a poisoned part that crashes engines at each instance anew, until the store has passed on what the first one saw.
func TestPoisonedPromptCrashesFewEnginesOfAllInstances(t *testing.T) {
	const instances, requests = 3, 9
	var crashes atomic.Int32
	engines := crashingEngines(t, 2*instances+1, &crashes, writeStreamHeader)
	gateways := make([]*gateway, instances)
	for i := range gateways {
		announce := func(content []byte) {
			for other, g := range gateways {
				if other != i {
					g.forwarder.EnginesCrashed(g.keeper.Announced(fmt.Sprint("instance", i), content))
				}
			}
		}
		gateways[i] = newGatewayWith(t, gatewayOptions{config: useEngines, announce: announce}, engines...)
	}
	allBlock := func() bool {
		for _, g := range gateways {
			if _, ok := g.keeper.Blocked(poison.Request{Parts: []string{sharedPart, poisonedPart}}); !ok {
				return false
			}
		}
		return true
	}
	for i := range requests {
		g := gateways[i%instances]
		g.sendPrompt(t, fmt.Sprintf("poisoned%d", i), sharedPart, poisonedPart, fmt.Sprintf("aa%d:100", i))
		for deadline := time.Now().Add(time.Second); !allBlock() && time.Now().Before(deadline); {
			time.Sleep(time.Millisecond)
		}
		if id := fmt.Sprintf("sound%d", i); !g.sendPrompt(t, id, sharedPart, fmt.Sprintf("bb%d:100", i)) {
			t.Errorf("got %s refused or failed, want every sound request served", id)
		}
	}
	if got, want := int(crashes.Load()), poison.MinCrashes; got != want {
		t.Errorf("got %d engines crashed, want %d", got, want)
	}
}

// Guards against a stream without a length whose engine crashed between two events being passed on as complete, and against one whose
// engine lives on being broken off.
func TestUnframedStreamOfCrashedEngineIsContinued(t *testing.T) {
	for _, crashes := range []bool{true, false} {
		var engines []*server
		var arrivals atomic.Int32
		for i := range 2 {
			engine := newServer(t, fmt.Sprintf("engine%d", i), nil)
			engine.card = "card"
			engine.respond = func(conn net.Conn, request *http.Request, n int) {
				if arrivals.Add(1) > 1 {
					respondRest(conn, request, n)
					return
				}
				if crashes {
					_ = engine.listener.Close()
				}
				writeStream(toTheEnd, eventText(1, brokenAfter), false)(conn, request, n)
			}
			engines = append(engines, engine)
		}
		want := brokenAfter
		if crashes {
			want = lastEvent
		}
		newGateway(t, useEngines, engines...).sendRaw(t, "/stream/").check(t, want, true)
	}
}

// Guards against a crash that does not count because the engine was to replace a silent one.
func TestCrashOfSuccessorCounts(t *testing.T) {
	beginThenCrash := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		_ = conn.Close()
	}
	respond := firstThen(beginThenSilence, beginThenCrash)
	first, second := newServer(t, "first", respond), newServer(t, "second", respond)
	first.card, second.card = "card", "card"
	shortTimeout := func(config *route.Config) {
		useEngines(config)
		for i := range config.Routes {
			config.Routes[i].Timeout = 2500 * time.Millisecond
		}
	}
	var ended []string
	record := func(_ context.Context, _ backend.Server, request poison.Request, began bool) bool {
		ended = append(ended, fmt.Sprint(request.Parts, began))
		return true
	}
	g := newGatewayWith(t, gatewayOptions{config: shortTimeout, ended: record}, first, second)
	g.sendPrompt(t, "r1", poisonedPart, "last")
	if got, want := ended, []string{fmt.Sprint([]string{poisonedPart}, false)}; !slices.Equal(got, want) {
		t.Errorf("got ended connections %v, want %v", got, want)
	}
}

// Guards against the probe that confirms a crash reaching an engine that wants no requests for a while.
func TestCrashProbeSparesWaitingEngine(t *testing.T) {
	engine := newServer(t, "engine", writeStream(toTheEnd, eventText(1, lastEvent), false))
	engine.card = "card"
	var probes atomic.Int32
	count := func(context.Context, backend.Server, poison.Request, bool) bool {
		probes.Add(1)
		return false
	}
	g := newGatewayWith(t, gatewayOptions{config: useEngines, ended: count}, engine)
	turnAway := call.Response{ID: "r0", NotRun: true, RetryAfter: call.RetryAfter{Delay: time.Minute}}
	engine.respond = func(conn net.Conn, request *http.Request, n int) {
		g.forwarder.config.Notices.Received(engine.entry(), turnAway)
		writeStream(toTheEnd, eventText(1, lastEvent), false)(conn, request, n)
	}
	g.sendRaw(t, "/stream/").check(t, lastEvent, true)
	if got := probes.Load(); got != 0 {
		t.Errorf("got %d probes, want none", got)
	}
}

// Guards against a request that goes on waiting at an engine, and crashes it, after engines elsewhere have crashed under the same part.
func TestPoisonedRequestIsWithdrawnFromItsEngine(t *testing.T) {
	arrived, left := make(chan struct{}), make(chan struct{})
	engine := newServer(t, "engine", func(conn net.Conn, request *http.Request, n int) {
		if n == 1 {
			close(arrived)
			_, _ = conn.Read(make([]byte, 1))
			close(left)
			return
		}
		writeStreamHeader(conn, request)
		writeEvent(conn, 1, "text")
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	})
	engine.card = "card"
	g := newGateway(t, useEngines, engine)
	status := make(chan int, 1)
	go func() {
		response, _, _ := g.sendParts(t, "r1", sharedPart, poisonedPart, "last")
		status <- response.StatusCode
	}()
	<-arrived
	for i := range poison.MinCrashes {
		gone := backend.Server{ID: fmt.Sprint("gone", i), Address: "127.0.0.1:1"}
		g.keeper.ConnectionEnded(context.Background(), gone, poison.Request{Parts: []string{sharedPart, poisonedPart}}, false)
	}
	select {
	case <-left:
	case <-time.After(time.Second):
		t.Error("got the request left at its engine, want it withdrawn")
	}
	if got, want := <-status, http.StatusBadGateway; got != want {
		t.Errorf("got status %d, want %d: the request may have run", got, want)
	}
	if !g.sendPrompt(t, "r2", sharedPart, "last") {
		t.Error("got a sound request refused, want it served by the engine from which the other was withdrawn")
	}
}
