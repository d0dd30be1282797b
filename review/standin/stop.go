package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes and times of the case of a planned stop.
const (
	stopAt         = 14 * time.Second // SIGTERM, from the start of traffic
	graceTime      = 8 * time.Second  // grace-s
	refusedUntil   = 3 * time.Second  // requests sent later than this after SIGTERM aren't excused
	stopLength     = 32 * time.Second
	quickEvery     = 30 * time.Millisecond
	steadyEvery    = 2 * time.Second
	quickEvents    = 20
	steadyEvents   = 85
	quickStep      = 7300 * time.Microsecond // three tokens at 1.02 ms x 2.4
	steadyStep     = 49 * time.Millisecond   // three tokens at 1.02 ms x 16
	steadyDelay    = 250 * time.Millisecond
	keptConnection = 3 // clients that keep a connection over SIGTERM
)

// stopCase plays a planned stop of one of two gateways, beside clients that keep their connections for the next request. Some streams
// run on quick cards and some on slow ones, both at an even pace within gap-target-ms.
func stopCase() {
	s := newStore()
	var mu sync.Mutex
	passedOn := map[string]bool{}
	serveWith := func(events int, delay, step time.Duration) func(*worker, http.ResponseWriter, *http.Request) {
		return func(w *worker, out http.ResponseWriter, r *http.Request) {
			if !w.holdsPath(r) {
				turnAway(out, r, http.StatusMisdirectedRequest)
				return
			}
			id := r.Header.Get("X-Comfreyrail-Attempt-Id")
			mu.Lock()
			passedOn[id] = true
			mu.Unlock()
			begin(out, r)
			whole := stream(out, r, events, delay, step)
			if strings.HasPrefix(id, "kept") {
				note("worker %s has run %s, to its end: %v", w.incarnation(), id, whole)
			}
		}
	}
	var workers []*worker
	zones := []string{"alappuzha", "kottayam"}
	for i := range 4 {
		workers = append(workers, newWorker(fmt.Sprintf("q%d", i), "huvo11a", zones[i%2], "a100", 192, s, serveWith(quickEvents, 60*time.Millisecond, quickStep)),
			newWorker(fmt.Sprintf("s%d", i), "wuno96b", zones[i%2], "l4", 192, s, serveWith(steadyEvents, steadyDelay, steadyStep)))
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health-path": "/healthz", "max-conns": 988, "protocol": "h1", "tls": false, "engine": engineConfig()}
	}
	s.put("op/config", encode(config{
		"version": 7, "limits": limits, "services": []any{service("huvo11a"), service("wuno96b")},
		"routes":  []any{streamRoute("r-1", "/lohu930/", "huvo11a"), streamRoute("r-2", "/pufi791/", "wuno96b")},
		"tenants": []any{map[string]any{"name": "hule930", "api-keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}))
	stopped, other := newGateway("edge-alappuzha-1", zones[0], s.address), newGateway("edge-kottayam-1", zones[1], s.address)
	for _, g := range []*gateway{stopped, other} {
		g.start()
	}
	for _, g := range []*gateway{stopped, other} {
		g.awaitReady(10 * time.Second)
	}
	awaitPlaced(workers)
	time.Sleep(time.Second)

	var terminatedAt time.Time
	lost, served, refused := 0, 0, 0
	// request sends one request on a connection and returns its answer. It judges the request if it was sent to the stopped gateway.
	request := func(c *client, g *gateway, kind, prefix string, events, tokens int) reply {
		id, at := newID(kind), time.Now()
		if kind == "kept" {
			note("client sends %s to %s", id, g.name)
		}
		got := c.send(http.MethodPost, prefix+"2f", "ficu95.example", map[string]string{
			"X-Comfreyrail-Attempt-Id": id, "X-Comfreyrail-Credential": "n2ctnfzs989anu6wsjnb", "X-Comfreyrail-Model": "m0",
			"X-Comfreyrail-Tokens": fmt.Sprintf("200,%d", tokens), "X-Comfreyrail-Length-Hint": fmt.Sprint(tokens),
			"X-Comfreyrail-Prefix-Hash": "91bd3f06:40,e4402b7d:160",
		}, "prompt", 20*time.Second)
		whole := got.complete && (got.status != http.StatusOK || strings.Contains(string(got.body), event(events, id)))
		mu.Lock()
		defer mu.Unlock()
		afterStop := g == stopped && !terminatedAt.IsZero() && at.Sub(terminatedAt) > refusedUntil
		if kind == "kept" || !whole {
			sent := "before SIGTERM"
			if !terminatedAt.IsZero() && at.After(terminatedAt) {
				sent = fmt.Sprintf("%.3f s after SIGTERM", at.Sub(terminatedAt).Seconds())
			}
			note("client gets for %s (sent to %s %s): status %d, whole %v, %d bytes, connection: %q, %v, after %.3f s", id, g.name, sent, got.status, whole,
				len(got.body), got.header.Get("Connection"), got.err, time.Since(at).Seconds())
		}
		switch {
		case got.status == http.StatusServiceUnavailable:
			refused++
		case whole:
			served++
		case afterStop && passedOn[id] && time.Since(terminatedAt) < graceTime+time.Second:
			lost++
		}
		return got
	}
	var running sync.WaitGroup
	background := func(g *gateway, kind, prefix string, events int) {
		mu.Lock()
		gone := g == stopped && !terminatedAt.IsZero()
		mu.Unlock()
		if gone {
			g = other // the platform sends new connections elsewhere
		}
		running.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				note("%s: %v", g.name, err)
				return
			}
			defer c.close()
			request(c, g, kind, prefix, events, 3*events)
		})
	}
	start := time.Now()
	nextQuick, nextSteady, turn := start, start, 0
	for i := range keptConnection {
		// The first stream of this client ends between 3.1 and 3.6 s after SIGTERM; the next request follows on the same connection.
		first := time.Duration(steadyEvents-1)*steadyStep + steadyDelay
		at := stopAt + 3100*time.Millisecond + time.Duration(i)*80*time.Millisecond - first
		running.Add(1)
		time.AfterFunc(at, func() {
			defer running.Done()
			c, err := dial(stopped.front)
			if err != nil {
				note("%v", err)
				return
			}
			defer c.close()
			if got := request(c, stopped, "kept", "/pufi791/", steadyEvents, 3*steadyEvents); got.closed || !got.complete {
				return
			}
			time.Sleep(30 * time.Millisecond)
			request(c, stopped, "kept", "/pufi791/", steadyEvents, 3*steadyEvents)
		})
	}
	time.AfterFunc(stopAt, func() {
		if !trouble {
			return
		}
		mu.Lock()
		terminatedAt = time.Now()
		mu.Unlock()
		stopped.signal(syscall.SIGTERM)
		time.AfterFunc(graceTime, func() {
			select {
			case <-stopped.ended:
			default:
				stopped.signal(syscall.SIGKILL)
			}
		})
		<-stopped.ended
		note("%s has ended", stopped.name)
	})
	for time.Since(start) < stopLength-6*time.Second {
		now := time.Now()
		turn++
		if now.After(nextQuick) {
			nextQuick = nextQuick.Add(quickEvery)
			background([]*gateway{stopped, other}[turn%2], "quick", "/lohu930/", quickEvents)
		}
		if now.After(nextSteady) {
			nextSteady = nextSteady.Add(steadyEvery)
			background([]*gateway{stopped, other}[turn%2], "steady", "/pufi791/", steadyEvents)
		}
		time.Sleep(2 * time.Millisecond)
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	say("%d requests answered whole, %d refused", served, refused)
	finish(lost > 0, "requests sent later than 3 s after SIGTERM, passed on to a worker, whose connection ended without a complete answer: %d", lost)
}
