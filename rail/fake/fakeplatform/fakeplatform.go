package fakeplatform

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/time/rate"

	"github.com/comfreyrail/comfreyrail/rail/kv"
)

// Rates at which the service takes calls, and the lag of its list of instances.
const (
	DefaultWriteRate   = 400.0           // DefaultWriteRate is the rate of writes in calls per second.
	DefaultReadRate    = 2000.0          // DefaultReadRate is the rate of reads in calls per second.
	DefaultInstanceLag = 3 * time.Second // DefaultInstanceLag is the delay of the list of instances.
)

// Faults are the faults that the service shows.
type Faults struct {
	// Outage makes every call fail without effect.
	Outage bool `json:"outage"`
	// Delay is added before every call.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of coming writes that take effect although their answer is lost.
	LoseResponses int `json:"lose_answers"`
	// ExpireLeases ends every lease once.
	ExpireLeases bool `json:"lapse"`
}

// Config configures a Server; zero values take the defaults.
type Config struct {
	// WriteRate is the rate of writes in calls per second.
	WriteRate float64
	// ReadRate is the rate of reads in calls per second; a waiting watch counts as a call.
	ReadRate float64
	// InstanceLag is the delay of the list of instances.
	InstanceLag time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Server is the stand-in; it serves HTTP.
type Server struct {
	store  *store
	writes *rate.Limiter
	reads  *rate.Limiter
	lag    time.Duration
	now    func() time.Time
	mux    *http.ServeMux

	mu        sync.Mutex
	faults    Faults
	instances []change

	writeCalls atomic.Uint64
	readCalls  atomic.Uint64
}

// change is one announcement to the list of instances.
type change struct {
	at        time.Time
	instances []kv.ListEntry
}

// New returns a Server without records.
func New(config Config) *Server {
	if config.WriteRate == 0 {
		config.WriteRate = DefaultWriteRate
	}
	if config.ReadRate == 0 {
		config.ReadRate = DefaultReadRate
	}
	if config.InstanceLag == 0 {
		config.InstanceLag = DefaultInstanceLag
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Server{
		store:  newStore(config.Now),
		writes: rate.NewLimiter(rate.Limit(config.WriteRate), int(config.WriteRate)),
		reads:  rate.NewLimiter(rate.Limit(config.ReadRate), int(config.ReadRate)),
		lag:    config.InstanceLag,
		now:    config.Now,
		mux:    http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+kv.PathKeys+"{key}", s.read(s.get))
	s.mux.HandleFunc("PUT "+kv.PathKeys+"{key}", s.write(s.put))
	s.mux.HandleFunc("DELETE "+kv.PathKeys+"{key}", s.write(s.remove))
	s.mux.HandleFunc("GET "+kv.PathList, s.read(s.list))
	s.mux.HandleFunc("GET "+kv.PathWatch+"{key}", s.read(s.watch))
	s.mux.HandleFunc("POST "+kv.PathLeases, s.write(s.grant))
	s.mux.HandleFunc("POST "+kv.PathLeases+"/{id}", s.write(s.renew))
	s.mux.HandleFunc("DELETE "+kv.PathLeases+"/{id}", s.write(s.revoke))
	s.mux.HandleFunc("GET "+kv.PathInstances, s.read(s.listInstances))
	s.mux.HandleFunc("PUT /fault", s.setFaults)
	s.mux.HandleFunc("PUT /instances", s.setInstances)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the numbers of writes and reads served so far.
func (s *Server) Calls() (writes, reads uint64) { return s.writeCalls.Load(), s.readCalls.Load() }

// SetFaults replaces the faults that the service shows.
func (s *Server) SetFaults(faults Faults) {
	if faults.ExpireLeases {
		s.store.lapseAll()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetInstances announces a new list of instances, which callers see after the lag.
func (s *Server) SetInstances(instances []kv.ListEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = append(s.instances, change{at: s.now(), instances: instances})
}

func (s *Server) read(next http.HandlerFunc) http.HandlerFunc {
	return s.limited(s.reads, &s.readCalls, next)
}

// write wraps a write, whose answer may be lost after it took effect.
func (s *Server) write(next http.HandlerFunc) http.HandlerFunc {
	return s.limited(s.writes, &s.writeCalls, func(w http.ResponseWriter, r *http.Request) {
		if !s.takeLostAnswer() {
			next(w, r)
			return
		}
		next(discard{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	})
}

func (s *Server) takeLostAnswer() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

func (s *Server) limited(limiter *rate.Limiter, calls *atomic.Uint64, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		faults := s.faults
		s.mu.Unlock()
		if faults.Outage {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if faults.Delay > 0 {
			select {
			case <-time.After(faults.Delay):
			case <-r.Context().Done():
				return
			}
		}
		if !limiter.AllowN(s.now(), 1) {
			http.Error(w, "rate", http.StatusTooManyRequests)
			return
		}
		calls.Add(1)
		next(w, r)
	}
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	record, err := s.store.get(r.PathValue("key"))
	reply(w, record, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	var put kv.Put
	body := http.MaxBytesReader(w, r.Body, 2*kv.MaxValueSize)
	if err := json.NewDecoder(body).Decode(&put); err != nil || len(put.Value) > kv.MaxValueSize {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return
	}
	record, err := s.store.put(r.PathValue("key"), put)
	record.Value = nil
	reply(w, record, err)
}

func (s *Server) remove(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	reply(w, struct{}{}, s.store.remove(r.PathValue("key"), expect))
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	reply(w, s.store.list(r.URL.Query().Get("prefix")), nil)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		record, found, changed := s.store.wait(r.PathValue("key"), after)
		if found {
			reply(w, record, nil)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, nil, kv.ErrNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var wanted kv.Lease
	if err := json.NewDecoder(r.Body).Decode(&wanted); err != nil || wanted.TTL <= 0 {
		http.Error(w, "malformed lease", http.StatusBadRequest)
		return
	}
	reply(w, s.store.grant(wanted.TTL), nil)
}

func (s *Server) renew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	reply(w, struct{}{}, s.store.renew(id))
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.store.revoke(id)
	reply(w, struct{}{}, nil)
}

func (s *Server) listInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := make([]kv.ListEntry, 0)
	for _, announced := range s.instances {
		if s.now().Sub(announced.at) >= s.lag {
			visible = announced.instances
		}
	}
	reply(w, visible, nil)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) setInstances(w http.ResponseWriter, r *http.Request) {
	var instances []kv.ListEntry
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(instances)
}

// reply writes the result, or the status that stands for the error.
func reply(w http.ResponseWriter, result any, err error) {
	status := http.StatusOK
	switch {
	case err == nil:
	case strings.Contains(err.Error(), kv.ErrConflict.Error()):
		status = http.StatusConflict
	default:
		status = http.StatusNotFound
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err == nil {
		_ = json.NewEncoder(w).Encode(result)
	}
}

// discard is a ResponseWriter whose answer nobody gets.
type discard struct{ header http.Header }

// Header returns headers that nobody gets.
func (d discard) Header() http.Header { return d.header }

// Write drops the body.
func (d discard) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader drops the status.
func (d discard) WriteHeader(int) {}
