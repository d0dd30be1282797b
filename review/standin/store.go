package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the number of items in a page of a range.
const maxPage = 500

// item is an item of the store, or its tombstone.
type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	Rev       uint64 `json:"rev"`
	Created   uint64 `json:"created,omitempty"`
	Lease     uint64 `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in for the platform's store, by PROTOCOL.md.
type store struct {
	mu       sync.Mutex
	era      uint64
	away     bool
	revision uint64
	items    map[string]item
	history  []item
	leases   map[uint64]lease
	changed  chan struct{}
	address  string
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[uint64]lease{}, changed: make(chan struct{})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	must(err)
	s.address = listener.Addr().String()
	go func() { _ = (&http.Server{Handler: s}).Serve(listener) }()
	go func() {
		for range time.Tick(50 * time.Millisecond) {
			s.expire()
		}
	}()
	return s
}

func (s *store) expire() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return // leases pause
	}
	for id, l := range s.leases {
		if time.Now().After(l.expires) {
			s.end(id)
		}
	}
}

func (s *store) end(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

func (s *store) write(key string, value []byte, lease uint64) {
	s.revision++
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.Created
	}
	s.items[key] = item{Key: key, Value: value, Rev: s.revision, Created: created, Lease: lease}
	s.record(s.items[key])
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.revision++
		s.record(item{Key: key, Rev: s.revision, Tombstone: true})
	}
}

func (s *store) record(change item) {
	s.history = append(s.history, change)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes an item as the operator and the workers do, and reports whether the store has acknowledged it.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.away {
		return false
	}
	s.write(key, value, 0)
	return true
}

// drop removes an item as the platform does.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

func (s *store) setAway(away bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.away = away
	close(s.changed)
	s.changed = make(chan struct{})
}

// backup is a copy of what the operator and the workers wrote; what the system wrote is not in it.
type backup struct {
	revision uint64
	items    map[string]item
	history  []item
}

func (s *store) copy() backup {
	s.mu.Lock()
	defer s.mu.Unlock()
	return backup{revision: s.revision, items: maps.Clone(s.items), history: slices.Clone(s.history)}
}

// restore brings the store back from the copy: leases and what they hold are gone, revisions go back, and the era rises by one.
func (s *store) restore(from backup) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era++
	s.revision, s.items, s.history = from.revision, maps.Clone(from.items), slices.Clone(from.history)
	s.leases = map[uint64]lease{}
	for key, it := range s.items {
		if it.Lease != 0 {
			s.remove(key)
		}
	}
	s.away = false
	close(s.changed)
	s.changed = make(chan struct{})
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	away := s.away
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if away {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	time.Sleep(2 * time.Millisecond)
	path := r.URL.Path
	switch {
	case path == "/api/kv-range":
		s.serveRange(w, r)
	case path == "/api/kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		answer(w, http.StatusOK, struct {
			item
			Revision uint64 `json:"store-revision"`
		}{it, s.revision})
	case path == "/api/kv-watch":
		s.serveWatch(w, r)
	case path == "/api/kv-txn":
		s.serveTxn(w, r)
	case path == "/api/kv-lease":
		var body struct {
			TTL int64 `json:"ttl-ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.revision++
		ttl := time.Duration(body.TTL) * time.Millisecond
		s.leases[s.revision] = lease{ttl: ttl, expires: time.Now().Add(ttl)}
		answer(w, http.StatusOK, map[string]any{"lease": s.revision, "ttl-ms": body.TTL})
	case strings.HasPrefix(path, "/api/kv-keep/"), strings.HasPrefix(path, "/api/kv-lease-end/"):
		id, _ := strconv.ParseUint(path[strings.LastIndexByte(path, '/')+1:], 10, 64)
		s.mu.Lock()
		defer s.mu.Unlock()
		l, ok := s.leases[id]
		if !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
		if strings.HasPrefix(path, "/api/kv-lease-end/") {
			s.end(id)
		} else {
			l.expires = time.Now().Add(l.ttl)
			s.leases[id] = l
		}
		answer(w, http.StatusOK, map[string]any{"ttl-ms": l.ttl.Milliseconds()})
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("path-prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > maxPage
	items = items[:min(len(items), maxPage)]
	answer(w, http.StatusOK, map[string]any{"items": items, "truncated": truncated, "store-revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("path-prefix")
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	era := s.era
	s.mu.Unlock()
	for timedOut := false; ; {
		s.mu.Lock()
		if s.away || s.era != era {
			s.mu.Unlock()
			panic(http.ErrAbortHandler) // a watch that is waiting may be cut
		}
		if after > s.revision {
			s.mu.Unlock()
			w.WriteHeader(http.StatusGone)
			return
		}
		events := []item{}
		for _, change := range s.history {
			if change.Rev > after && strings.HasPrefix(change.Key, prefix) {
				events = append(events, change)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || timedOut {
			answer(w, http.StatusOK, map[string]any{"events": events, "store-revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			timedOut = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Expected []item   `json:"expected"`
		Writes   []item   `json:"writes"`
		Delete   []string `json:"delete"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, condition := range body.Expected {
		if s.items[condition.Key].Rev != condition.Rev {
			answer(w, http.StatusPreconditionFailed, map[string]any{"items": []item{}})
			return
		}
	}
	for _, write := range body.Writes {
		if strings.HasPrefix(write.Key, "op/") || strings.HasPrefix(write.Key, "servers/") {
			w.WriteHeader(http.StatusForbidden)
			return
		}
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	for _, write := range body.Writes {
		s.write(write.Key, write.Value, write.Lease)
	}
	for _, key := range body.Delete {
		s.remove(key)
	}
	answer(w, http.StatusOK, map[string]any{"rev": s.revision})
}
