package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Times of the case of a store that comes back from a copy, from the start of traffic.
const (
	copyAt       = 3 * time.Second
	revokeAt     = 4 * time.Second
	awayAt       = 10 * time.Second // the copy is 7 s old
	awayFor      = 700 * time.Millisecond
	rewriteAfter = time.Second // the operator writes the configuration again so long after the return
	addAfter     = 100 * time.Millisecond
	restoredEnd  = 18 * time.Second
	revokeTime   = 5 * time.Second // revoke-ms
	keyEvery     = 20 * time.Millisecond
	takenKey     = "n2ctnfzs989anu6wsjnb"
	otherKey     = "anfqasnmgkcuyj8pjbvk"
)

// restoredCase plays a drill: the store is away for a moment and comes back from a copy some seconds old, while a machine is added. A key
// was taken away long before. TROUBLE=0 adds the machine without the drill.
func restoredCase() {
	s := newStore()
	var mu sync.Mutex
	sentAt, target := map[string]time.Time{}, map[string]string{}
	var revokedAt time.Time
	broken := 0
	serve := func(w *worker, out http.ResponseWriter, r *http.Request) {
		id := r.Header.Get("X-Comfreyrail-Attempt-Id")
		mu.Lock()
		if strings.HasPrefix(id, "taken") && !revokedAt.IsZero() {
			late := sentAt[id].Sub(revokedAt)
			note("worker %s runs %s, sent to %s %.3f s after the acknowledgement", w.incarnation(), id, target[id], late.Seconds())
			if late > revokeTime {
				broken++
			}
		}
		mu.Unlock()
		time.Sleep(10 * time.Millisecond)
		begin(out, r)
		_, _ = fmt.Fprintf(out, "answer to %s", id)
	}
	zones := []string{"alappuzha", "kottayam", "thrissur"}
	for i := range 3 {
		newWorker(fmt.Sprintf("a%d", i), "wuno96b", zones[i], "", 6, s, serve)
	}
	write := func(version int, keys ...string) {
		acknowledged := s.put("op/config", encode(config{
			"version": version, "limits": limits,
			"routes": []any{map[string]any{
				"name": "r-1", "host": "ficu95.example", "path-prefix": "/puxa403/", "type": "unsafe", "timeout-ms": 800, "slo-ms": 100, "priority": 2,
				"service": "wuno96b", "max-attempts": 1, "public": false, "sticky": false, "resumable": false,
			}},
			"services": []any{map[string]any{"name": "wuno96b", "health-path": "/healthz", "max-conns": 52, "protocol": "h1", "tls": false}},
			"tenants":  []any{map[string]any{"name": "hule930", "api-keys": keys, "priority": 1}},
		}))
		note("the operator writes version %d with %d keys; acknowledged: %v", version, len(keys), acknowledged)
	}
	write(7, takenKey, otherKey)
	var own []*gateway
	for _, zone := range zones {
		g := newGateway("edge-"+zone+"-1", zone, s.address)
		g.start()
		own = append(own, g)
	}
	for _, g := range own {
		g.awaitReady(10 * time.Second)
	}
	added := newGateway("edge-thrissur-2", "thrissur", s.address)

	start := time.Now()
	var saved backup
	time.AfterFunc(copyAt, func() {
		saved = s.copy()
		note("the platform copies the store")
	})
	time.AfterFunc(revokeAt, func() {
		write(9, otherKey)
		mu.Lock()
		defer mu.Unlock()
		revokedAt = time.Now()
	})
	time.AfterFunc(awayAt, func() {
		if trouble {
			note("the store is away")
			s.setAway(true)
		}
	})
	time.AfterFunc(awayAt+awayFor, func() {
		if trouble {
			s.restore(saved)
			note("the store is back, from the copy")
			time.AfterFunc(rewriteAfter, func() { write(9, otherKey) })
		}
	})
	time.AfterFunc(awayAt+awayFor+addAfter, func() {
		added.start()
		added.awaitReady(10 * time.Second) // the platform sends it no clients before
		mu.Lock()
		defer mu.Unlock()
		own = append(own, added)
	})
	outcomes := map[string]int{}
	var running sync.WaitGroup
	for next, turn := start, 0; time.Since(start) < restoredEnd; time.Sleep(time.Millisecond) {
		if time.Now().Before(next) {
			continue
		}
		next, turn = next.Add(keyEvery), turn+1
		mu.Lock()
		g := own[turn/2%len(own)]
		mu.Unlock()
		kind, key := "taken", takenKey
		if turn%2 == 0 {
			kind, key = "held", otherKey
		}
		running.Go(func() {
			c, err := dial(g.front)
			if err != nil {
				return // the gateway doesn't listen yet
			}
			defer c.close()
			id := newID(kind)
			mu.Lock()
			sentAt[id], target[id] = time.Now(), g.name
			mu.Unlock()
			got := c.send(http.MethodPost, "/puxa403/2f", "ficu95.example", map[string]string{
				"X-Comfreyrail-Attempt-Id": id, "X-Comfreyrail-Credential": key,
			}, "order", 1500*time.Millisecond)
			mu.Lock()
			defer mu.Unlock()
			phase := "before"
			if !revokedAt.IsZero() && sentAt[id].After(revokedAt) {
				phase = "after"
			}
			outcomes[fmt.Sprintf("key %s, sent %s it was taken away, %s: status %d", kind, phase, g.name, got.status)]++
			if kind == "taken" && phase == "after" {
				note("client gets for %s from %s: status %d", id, g.name, got.status)
			}
		})
	}
	running.Wait()
	mu.Lock()
	defer mu.Unlock()
	for outcome, count := range outcomes {
		say("%d x %s", count, outcome)
	}
	finish(broken > 0, "requests with the key, sent later than revoke-ms after the acknowledgement, that ran: %d", broken)
}
