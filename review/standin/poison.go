package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Sizes and times of the case of a part that crashes workers.
const (
	poisonGateways = 3
	poisonWorkers  = 14
	poisonLength   = 30 * time.Second
	poisonFrom     = 4 * time.Second
	poisonEvery    = 700 * time.Millisecond // between two requests with the part
	soundEvery     = 40 * time.Millisecond
	downFor        = 2 * time.Second
	stableTime     = 3 * time.Second // stable-ms
	poisonPart     = "5c1e07a2"
	eventsPerReply = 20
)

// engineConfig is the engine of a service whose workers hold the whole model each.
func engineConfig() map[string]any {
	return map[string]any{
		"slots": 192, "kv-capacity": 100000, "kv-token-bytes": 918000, "link-mbps": 400000.0, "stride": 3,
		"models":  []any{map[string]any{"name": "m0", "pace": 1.0, "load-s": 0.1, "warm-s": 0.0}},
		"step_ms": 1.02, "per_seq_ms": 0.00714, "context_per_k": 0.00956, "read_per_s": 105000.0, "pairs_per_m": 0.309, "chunk": 512,
		"report_lag_ms": 200.0, "loads_at_once": 5, "usual": map[string]any{"prompt": 774, "answer": 60}, "layers": 8, "layer-mb": 1750.0,
		"act-bytes": 45900, "pipe-mbps": 26000.0,
		"kinds": []any{
			map[string]any{"name": "a100", "size-mb": 72000.0, "pace": 2.4, "read-factor": 3.2},
			map[string]any{"name": "l4", "size-mb": 31600.0, "pace": 16.0, "read-factor": 8.2},
		},
	}
}

func streamRoute(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "ficu95.example", "path-prefix": prefix, "type": "stream", "timeout-ms": 20000, "slo-ms": 500, "priority": 1,
		"service": service, "max-attempts": 2, "public": false, "sticky": true, "resumable": true, "gap-target-ms": 200,
	}
}

// poison plays requests with a part that crashes each worker that begins to write an answer on it. By the way, the worker has written
// before it crashes: "head": the head of the answer; "event": the head and the first event.
func poison(way string) {
	s := newStore()
	var mu sync.Mutex
	var crashes []time.Time
	sentAt := map[string]time.Time{} // by id, for requests with the part
	reached := map[string]int{}      // arrivals at workers, by id
	lateReached := 0
	broken := 0
	serve := func(w *worker, out http.ResponseWriter, r *http.Request) {
		id, incarnation := r.Header.Get("X-Comfreyrail-Attempt-Id"), w.incarnation()
		poisoned := strings.Contains(r.Header.Get("X-Comfreyrail-Prefix-Hash"), poisonPart)
		if poisoned {
			mu.Lock()
			reached[id]++
			if len(crashes) >= 5 && sentAt[id].After(crashes[4].Add(stableTime)) {
				lateReached++
			}
			mu.Unlock()
			note("request %s with the part reaches worker %s", id, incarnation)
		}
		if !w.holdsPath(r) {
			turnAway(out, r, http.StatusMisdirectedRequest)
			return
		}
		begin(out, r)
		if !poisoned || !trouble {
			if poisoned {
				note("worker %s runs %s", incarnation, id)
			}
			stream(out, r, eventsPerReply, 60*time.Millisecond, 30*time.Millisecond)
			return
		}
		time.Sleep(60 * time.Millisecond)
		first := firstEvent(r)
		controller := http.NewResponseController(out)
		switch way {
		case "head":
			out.Header().Set("Content-Type", "text/event-stream")
			_ = controller.Flush()
		case "event":
			out.Header().Set("Content-Type", "text/event-stream")
			_, _ = out.Write([]byte(event(first, id)))
			_ = controller.Flush()
		}
		time.Sleep(20 * time.Millisecond)
		if w.crash(incarnation) {
			mu.Lock()
			crashes = append(crashes, time.Now())
			note("worker %s crashes (crash %d) on %s", incarnation, len(crashes), id)
			mu.Unlock()
			time.AfterFunc(downFor, w.start)
		}
	}
	zones := []string{"alappuzha", "kottayam", "thrissur"}
	var workers []*worker
	for i := range poisonWorkers {
		workers = append(workers, newWorker(fmt.Sprintf("w%02d", i), "huvo11a", zones[i%3], "a100", 192, s, serve))
	}
	s.put("op/config", encode(config{
		"version": 7, "limits": limits, "routes": []any{streamRoute("r-1", "/lohu930/", "huvo11a")},
		"services": []any{map[string]any{"name": "huvo11a", "health-path": "/healthz", "max-conns": 988, "protocol": "h1", "tls": false, "engine": engineConfig()}},
		"tenants":  []any{map[string]any{"name": "hule930", "api-keys": []string{"n2ctnfzs989anu6wsjnb"}, "priority": 1}},
	}))
	var own []*gateway
	for i := range poisonGateways {
		g := newGateway(fmt.Sprintf("edge-%s-1", zones[i]), zones[i], s.address)
		g.start()
		own = append(own, g)
	}
	for _, g := range own {
		g.awaitReady(10 * time.Second)
	}
	awaitPlaced(workers)
	time.Sleep(time.Second) // the gateways read the layers

	outcomes := map[string]int{}
	request := func(g *gateway, kind, parts string) {
		c, err := dial(g.front)
		if err != nil {
			note("%s: %v", g.name, err)
			return
		}
		defer c.close()
		id := newID(kind)
		mu.Lock()
		sentAt[id] = time.Now()
		mu.Unlock()
		if kind == "part" {
			note("client sends %s to %s, parts %s", id, g.name, parts)
		}
		got := c.send(http.MethodPost, "/lohu930/2f", "ficu95.example", map[string]string{
			"X-Comfreyrail-Attempt-Id": id, "X-Comfreyrail-Credential": "n2ctnfzs989anu6wsjnb", "X-Comfreyrail-Model": "m0",
			"X-Comfreyrail-Tokens": "400,60", "X-Comfreyrail-Length-Hint": "60", "X-Comfreyrail-Prefix-Hash": parts,
		}, "prompt", 20*time.Second)
		whole := got.complete && got.status == http.StatusOK && strings.Contains(string(got.body), event(eventsPerReply, id))
		mu.Lock()
		defer mu.Unlock()
		outcome := fmt.Sprintf("%s: status %d, whole %v", kind, got.status, whole)
		outcomes[outcome]++
		if kind == "part" || !whole {
			note("client gets for %s: status %d, whole %v, %v", id, got.status, whole, got.err)
		}
		if kind == "sound" && !whole {
			broken++
		}
	}
	var running sync.WaitGroup
	start := time.Now()
	nextSound, nextPoison, serial := start, start.Add(poisonFrom), 0
	for time.Since(start) < poisonLength {
		now := time.Now()
		if now.After(nextSound) {
			nextSound = nextSound.Add(soundEvery)
			serial++
			g, parts := own[rand.IntN(len(own))], fmt.Sprintf("91bd3f%02x:40,%08x:360", rand.IntN(10), 0xe0000000+serial)
			running.Go(func() { request(g, "sound", parts) })
		}
		if now.After(nextPoison) {
			nextPoison = nextPoison.Add(poisonEvery)
			serial++
			g, parts := own[rand.IntN(len(own))], fmt.Sprintf("91bd3f%02x:40,%s:200,%08x:160", rand.IntN(10), poisonPart, 0xe0000000+serial)
			running.Go(func() { request(g, "part", parts) })
		}
		time.Sleep(2 * time.Millisecond)
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	for outcome, count := range outcomes {
		say("%d x %s", count, outcome)
	}
	say("%d crashes of workers; %d sound requests without a whole answer", len(crashes), broken)
	finish(lateReached > 3, "requests with the part that reached workers, sent later than stable-ms after the fifth crash: %d (3 allowed)", lateReached)
}

// awaitPlaced waits until all workers hold layers.
func awaitPlaced(workers []*worker) {
	for start := time.Now(); time.Since(start) < 20*time.Second; time.Sleep(50 * time.Millisecond) {
		placed := 0
		for _, w := range workers {
			w.mu.Lock()
			if w.to > 0 {
				placed++
			}
			w.mu.Unlock()
		}
		if placed == len(workers) {
			note("all workers hold layers")
			return
		}
	}
	cannotRun("the workers got no layers")
}
