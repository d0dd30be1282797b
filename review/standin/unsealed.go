package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// Sizes and times of the case of workers that hand out wrong bytes.
const (
	spoiledPart = 0.02 // of the answers of half of the workers
	spoiledAt   = 3 * time.Second
	spoiledFor  = 5500 * time.Millisecond
	spoiledEnd  = 11 * time.Second
	lookupEvery = 4 * time.Millisecond
)

// unsealedCase plays workers that spoil part of their answers: the name of the header with the signature has a wrong byte.
func unsealedCase() {
	s := newStore()
	var mu sync.Mutex
	var traffic time.Time
	spoiled := 0
	serve := func(w *worker, out http.ResponseWriter, r *http.Request) {
		mu.Lock()
		since := time.Since(traffic)
		spoil := trouble && (w.name == "a0" || w.name == "a1") && since > spoiledAt && since < spoiledAt+spoiledFor && rand.Float64() < spoiledPart
		if spoil {
			spoiled++
		}
		mu.Unlock()
		time.Sleep(15 * time.Millisecond)
		begin(out, r)
		if spoil {
			note("worker %s spoils the answer to %s", w.incarnation(), r.Header.Get("X-Comfreyrail-Attempt-Id"))
			out.Header().Set("X-Comfreyrail-Server-Seam", out.Header().Get("X-Comfreyrail-Server-Seal"))
			out.Header().Del("X-Comfreyrail-Server-Seal")
		}
		_, _ = fmt.Fprintf(out, "answer to %s", r.Header.Get("X-Comfreyrail-Attempt-Id"))
	}
	zones := []string{"alappuzha", "kottayam"}
	for i := range 4 {
		newWorker(fmt.Sprintf("a%d", i), "wuno96b", zones[i%2], "", 6, s, serve)
	}
	s.put("op/config", encode(config{
		"version": 7, "limits": limits,
		"routes": []any{map[string]any{
			"name": "r-1", "host": "ficu95.example", "path-prefix": "/cufi504/", "type": "safe", "timeout-ms": 800, "slo-ms": 100, "priority": 2,
			"service": "wuno96b", "max-attempts": 2, "public": false, "sticky": false, "resumable": false,
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
	var running sync.WaitGroup
	for next, turn := time.Now(), 0; time.Since(traffic) < spoiledEnd; time.Sleep(time.Millisecond) {
		if time.Now().Before(next) {
			continue
		}
		next, turn = next.Add(lookupEvery), turn+1
		g := own[turn%2]
		running.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				note("%s: %v", g.name, err)
				return
			}
			defer c.close()
			id := newID("lookup")
			got := c.send(http.MethodGet, "/cufi504/fi50/2f", "ficu95.example", map[string]string{
				"X-Comfreyrail-Attempt-Id": id, "X-Comfreyrail-Credential": otherKey,
			}, "", 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			answered[fmt.Sprintf("status %d", got.status)]++
			if got.status >= 200 && got.status < 300 && got.header.Get("X-Comfreyrail-Server-Seal") == "" {
				broken++
				note("client gets for %s from %s: status %d, no X-Comfreyrail-Server-Seal, body %q", id, g.name, got.status, got.body)
			}
		})
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	for outcome, count := range answered {
		say("%d x %s", count, outcome)
	}
	say("answers that workers spoiled: %d", spoiled)
	finish(broken > 0, "successes that clients got without X-Comfreyrail-Server-Seal: %d", broken)
}
