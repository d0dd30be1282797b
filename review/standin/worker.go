package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// beat is the interval at which a worker writes its entry; the platform removes an entry after three of them without a write.
const beat = 1200 * time.Millisecond

// worker is a stand-in for a worker, by PROTOCOL.md. A model worker has a type.
type worker struct {
	service, zone, address, kind string
	slots                        int
	store                        *store
	serve                        func(w *worker, out http.ResponseWriter, r *http.Request)

	mu         sync.Mutex
	name       string
	id         string // of the incarnation, empty while the worker is down
	starts     int
	born       int64
	seq        int // orders accepted
	entrySeq   int
	from, to   int
	lastBeat   time.Time
	listener   net.Listener
	conns      map[net.Conn]bool
	registered bool
}

func newWorker(name, service, zone, kind string, slots int, s *store, serve func(*worker, http.ResponseWriter, *http.Request)) *worker {
	w := &worker{name: name, service: service, zone: zone, kind: kind, slots: slots, store: s, serve: serve, address: freePort()}
	w.start()
	go func() {
		for range time.Tick(beat / 4) {
			w.mu.Lock()
			due, id := w.id != "" && w.registered && time.Since(w.lastBeat) >= beat, w.id
			w.mu.Unlock()
			if due {
				w.writeEntry(id)
			}
		}
	}()
	return w
}

// start starts a new incarnation, which holds nothing.
func (w *worker) start() {
	listener, err := net.Listen("tcp", w.address)
	if err != nil {
		cannotRun("worker %s: %v", w.name, err)
	}
	w.mu.Lock()
	w.starts++
	w.id = fmt.Sprintf("i-%s-%d", w.name, w.starts)
	w.born, w.seq, w.from, w.to = time.Now().UnixMilli(), 0, 0, 0
	w.listener, w.conns, w.registered = listener, map[net.Conn]bool{}, true
	id := w.id
	w.mu.Unlock()
	server := &http.Server{Handler: w, ConnState: func(conn net.Conn, state http.ConnState) {
		w.mu.Lock()
		defer w.mu.Unlock()
		if w.listener != listener {
			if state == http.StateNew {
				_ = conn.Close()
			}
			return
		}
		if state == http.StateClosed {
			delete(w.conns, conn)
		} else {
			w.conns[conn] = true
		}
	}}
	go func() { _ = server.Serve(listener) }()
	w.writeEntry(id)
}

// crash ends the incarnation as a process that ends does: its listener and its connections are closed, and it says nothing.
func (w *worker) crash(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.id != id {
		return false
	}
	w.id, w.registered = "", false
	_ = w.listener.Close()
	for conn := range w.conns {
		_ = conn.Close()
	}
	w.listener, w.conns = nil, nil
	key := "servers/" + id
	time.AfterFunc(3*beat, func() { w.store.drop(key) })
	return true
}

// writeEntry writes the entry of an incarnation.
func (w *worker) writeEntry(id string) {
	w.mu.Lock()
	if w.id != id {
		w.mu.Unlock()
		return
	}
	w.entrySeq++
	w.lastBeat = time.Now()
	entry := map[string]any{
		"service": w.service, "addr": w.address, "zone": w.zone, "version": "v1", "slots": w.slots, "state": "ready",
		"warmup-left-ms": 0, "seq": w.entrySeq, "born": w.born,
	}
	if w.kind != "" {
		entry["type"], entry["phase"] = w.kind, "both"
		entry["models"] = []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}
		entry["layers"] = map[string]any{"from": w.from, "to": w.to, "version": 1}
	}
	w.mu.Unlock()
	w.store.put("servers/"+id, encode(entry))
}

func (w *worker) ServeHTTP(out http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	id := w.id
	w.mu.Unlock()
	out.Header().Set("X-Comfreyrail-Instance", id)
	if expected := r.Header.Get("X-Comfreyrail-Expect-Instance"); expected != "" && expected != id {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/healthz":
		out.WriteHeader(http.StatusOK)
	case "/api/report":
		w.mu.Lock()
		defer w.mu.Unlock()
		answer(out, http.StatusOK, map[string]any{
			"phase": "both", "models": []any{map[string]any{"name": "m0", "version": 1, "adapters": []any{}}}, "busy": false, "seq": w.seq, "queued": 0,
			"active": 0, "kv-used": 0, "kv-total": 90000, "kv-handles": 0, "pace": 1.0, "born": w.born, "type": w.kind,
			"layers": map[string]any{"from": w.from, "to": w.to, "version": 1}, "stalled": []any{},
		})
	case "/api/order":
		w.serveOrder(out, r, id)
	default:
		w.serve(w, out, r)
	}
}

func (w *worker) serveOrder(out http.ResponseWriter, r *http.Request, id string) {
	var order struct {
		Op       string `json:"op"`
		From     int    `json:"from"`
		To       int    `json:"to"`
		Expected *int   `json:"expected"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil || order.Op != "place" && order.Op != "repath" {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Op == "repath" {
		out.WriteHeader(http.StatusNotFound)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.id != id || order.Expected != nil && *order.Expected != w.seq:
		out.WriteHeader(http.StatusConflict)
	case w.from == order.From && w.to == order.To:
		out.WriteHeader(http.StatusOK)
	default:
		w.seq++
		out.WriteHeader(http.StatusAccepted)
		time.AfterFunc(100*time.Millisecond, func() {
			w.mu.Lock()
			if w.id == id {
				w.from, w.to = order.From, order.To
			}
			w.mu.Unlock()
			w.writeEntry(id)
		})
	}
}

// incarnation returns the id of the current incarnation.
func (w *worker) incarnation() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.id
}

// holdsPath reports whether the path of a request names this worker alone, with layers that it holds.
func (w *worker) holdsPath(r *http.Request) bool {
	hops := r.Header.Get("X-Comfreyrail-Hops")
	address, layers, _ := strings.Cut(hops, "=")
	var from, to int
	if _, err := fmt.Sscanf(layers, "%d-%d", &from, &to); err != nil || address != w.address {
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.from <= from && to <= w.to && from < to
}

// begin records that the worker runs a request, and sets the headers that its answer has.
func begin(out http.ResponseWriter, r *http.Request) {
	note("run %s at %s", r.Header.Get("X-Comfreyrail-Attempt-Id"), out.Header().Get("X-Comfreyrail-Instance"))
	out.Header().Set("X-Comfreyrail-Attempt-Id", r.Header.Get("X-Comfreyrail-Attempt-Id"))
	out.Header().Set("X-Comfreyrail-Server-Seal", "seal."+r.Header.Get("X-Comfreyrail-Attempt-Id"))
}

// turnAway answers that the request was not run.
func turnAway(out http.ResponseWriter, r *http.Request, status int) {
	out.Header().Set("X-Comfreyrail-Attempt-Id", r.Header.Get("X-Comfreyrail-Attempt-Id"))
	out.Header().Set("X-Comfreyrail-Not-Run", "1")
	out.WriteHeader(status)
}

// event returns the event with the id.
func event(id int, request string) string {
	return "id: " + strconv.Itoa(id) + "\ndata: " + request + "\n\n"
}

// firstEvent returns the id of the first event that the request asks for.
func firstEvent(r *http.Request) int {
	last, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	return last + 1
}

// stream writes the events from the first that is asked for to the last, the first after the delay and the others in steps. It
// returns false if the connection ended before.
func stream(out http.ResponseWriter, r *http.Request, last int, delay, step time.Duration) bool {
	controller := http.NewResponseController(out)
	time.Sleep(delay)
	out.Header().Set("Content-Type", "text/event-stream")
	for id := firstEvent(r); id <= last; id++ {
		if _, err := out.Write([]byte(event(id, r.Header.Get("X-Comfreyrail-Attempt-Id")))); err != nil || controller.Flush() != nil || r.Context().Err() != nil {
			return false
		}
		if id < last {
			time.Sleep(step)
		}
	}
	return true
}
