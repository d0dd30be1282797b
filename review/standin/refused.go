package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case of a worker that fails part of its requests.
const (
	greyWorkers = 8                       // one of which fails: a share of 0.125
	greyPart    = 0.4                     // of its requests
	greyAt      = 3 * time.Second         // from the start of traffic
	greyFor     = 6500 * time.Millisecond // how long
	greyEnd     = 12 * time.Second
	greyEvery   = 10 * time.Millisecond
)

// refusedCase plays a worker that fails part of its requests while its health check is good: it has run them, and answers 503 without
// X-Comfreyrail-Not-Run. Clients retry as PROTOCOL.md says: after a promise once more, with a new id.
func refusedCase() {
	s := newStore()
	var mu sync.Mutex
	var traffic time.Time
	ran := map[string]string{}      // what the worker answered to the runs, by attempt id
	placed := map[string][]string{} // attempts that ran, by order
	serve := func(w *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Comfreyrail-Attempt-Id")
		order, _ := io.ReadAll(r.Body)
		mu.Lock()
		since := time.Since(traffic)
		fails := trouble && w.name == "a0" && since > greyAt && since < greyAt+greyFor && rand.Float64() < greyPart
		placed[string(order)] = append(placed[string(order)], id)
		ran[id] = "200"
		if fails {
			ran[id] = "503 without X-Comfreyrail-Not-Run"
		}
		mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		begin(out, r)
		if fails {
			note("worker %s has run %s (%s) and answers 503 without X-Comfreyrail-Not-Run", w.incarnation(), id, order)
			out.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = fmt.Fprintf(out, "answer to %s", id)
	}
	zones := []string{"alappuzha", "kottayam"}
	for i := range greyWorkers {
		newWorker(fmt.Sprintf("a%d", i), "wuno96b", zones[i%2], "", 6, s, serve)
	}
	s.put("op/config", encode(config{
		"version": 7, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path-prefix": "/puxa403/", "type": "unsafe", "timeout-ms": 800, "slo-ms": 100, "priority": 2,
			"service": "wuno96b", "max-attempts": 1, "public": false, "sticky": false, "resumable": false,
		}},
		"services": []any{map[string]any{"name": "wuno96b", "health-path": "/healthz", "max-conns": 52, "protocol": "h1", "tls": false}},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{otherKey}, "priority": 1}},
	}))
	var own []*gateway
	for _, zone := range zones {
		g := newGateway("edge-"+zone+"-1", zone, s.address)
		g.start()
		own = append(own, g)
	}
	for _, g := range own {
		g.awaitReady(10 * time.Second)
	}
	mu.Lock()
	traffic = time.Now()
	mu.Unlock()
	broken := 0
	answered := map[string]int{}
	attempt := func(g *gateway, order string) int {
		c, err := dial(g.front)
		if err != nil {
			note("%s: %v", g.name, err)
			return 0
		}
		defer c.close()
		id := newID("hold")
		got := c.send(http.MethodPost, "/puxa403/2f", "ficu95.example", map[string]string{
			"X-Comfreyrail-Attempt-Id": id, "X-Comfreyrail-Credential": otherKey,
		}, order, 1500*time.Millisecond)
		mu.Lock()
		defer mu.Unlock()
		answered[fmt.Sprintf("status %d", got.status)]++
		promise := got.status == 503 || got.status == 429 || got.status == 408 || got.status == 421
		if promise {
			note("client gets for %s (%s) from %s: status %d, Not-Run %q; a worker has run it: %v", id, order, g.name, got.status,
				got.header.Get("X-Comfreyrail-Not-Run"), ran[id] != "")
			if ran[id] != "" {
				broken++
			}
		}
		return got.status
	}
	var running sync.WaitGroup
	for next, turn := time.Now(), 0; time.Since(traffic) < greyEnd; time.Sleep(time.Millisecond) {
		if time.Now().Before(next) {
			continue
		}
		next, turn = next.Add(greyEvery), turn+1
		order, first, second := fmt.Sprintf("order %d", turn), own[turn%2], own[(turn+1)%2]
		running.Go(func() {
			if attempt(first, order) == http.StatusServiceUnavailable {
				time.Sleep(50 * time.Millisecond)
				attempt(second, order)
			}
		})
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	twice := 0
	for order, attempts := range placed {
		if len(attempts) > 1 {
			twice++
			note("%s ran twice: %v", order, attempts)
		}
	}
	for outcome, count := range answered {
		say("%d x %s", count, outcome)
	}
	say("orders that ran twice, since the client was told that the first attempt had not run: %d", twice)
	finish(broken > 0, "unsafe requests that a client got 503, 429, 408 or 421 for and that a worker has run: %d", broken)
}
