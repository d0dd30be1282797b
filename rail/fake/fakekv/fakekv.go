package fakekv

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

// Defaults of Config.
const (
	DefaultWriteRate = 400.0           // DefaultWriteRate is the maximum rate of writes in calls per second.
	DefaultReadRate  = 2000.0          // DefaultReadRate is the maximum rate of reads in calls per second.
	DefaultListLag   = 3 * time.Second // DefaultListLag is the lag of the list of instances and backend servers.
)

// Faults selects the faults that a Server injects; the zero value injects none.
type Faults struct {
	// Outage makes every call fail with status 503 and without effect.
	Outage bool `json:"outage"`
	// Delay is the time that passes before every call is served.
	Delay time.Duration `json:"delay"`
	// LoseResponses is the number of upcoming writes that take effect although their response is lost.
	LoseResponses int `json:"lose_answers"`
	// ExpireLeases ends every current lease when the faults are set.
	ExpireLeases bool `json:"lapse"`
}

// Config configures a Server; zero values select the defaults.
type Config struct {
	// WriteRate is the maximum rate of writes in calls per second; calls above it fail with status 429.
	WriteRate float64
	// ReadRate is the maximum rate of reads in calls per second; a watch counts as one call.
	ReadRate float64
	// ListLag is the time until a new list of instances and backend servers becomes visible.
	ListLag time.Duration
	// Now returns the current time; nil means time.Now.
	Now func() time.Time
}

// Server is the stand-in for the platform's store, an http.Handler.
type Server struct {
	store        *store
	writeLimiter *rate.Limiter
	readLimiter  *rate.Limiter
	listLag      time.Duration
	now          func() time.Time
	mux          *http.ServeMux

	mu            sync.Mutex
	faults        Faults
	instanceLists []listUpdate

	writeCalls atomic.Uint64
	readCalls  atomic.Uint64
}

// listUpdate is a list of instances and backend servers and the time at which it was set.
type listUpdate struct {
	setAt     time.Time
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
	if config.ListLag == 0 {
		config.ListLag = DefaultListLag
	}
	if config.Now == nil {
		config.Now = time.Now
	}
	s := &Server{
		store:        newStore(config.Now),
		writeLimiter: rate.NewLimiter(rate.Limit(config.WriteRate), int(config.WriteRate)),
		readLimiter:  rate.NewLimiter(rate.Limit(config.ReadRate), int(config.ReadRate)),
		listLag:      config.ListLag,
		now:          config.Now,
		mux:          http.NewServeMux(),
	}
	s.mux.HandleFunc("GET "+kv.PathKeys+"{key}", s.wrapRead(s.serveGet))
	s.mux.HandleFunc("PUT "+kv.PathKeys+"{key}", s.wrapWrite(s.servePut))
	s.mux.HandleFunc("DELETE "+kv.PathKeys+"{key}", s.wrapWrite(s.serveDelete))
	s.mux.HandleFunc("GET "+kv.PathList, s.wrapRead(s.serveList))
	s.mux.HandleFunc("GET "+kv.PathWatch+"{key}", s.wrapRead(s.serveWatch))
	s.mux.HandleFunc("POST "+kv.PathLeases, s.wrapWrite(s.serveGrant))
	s.mux.HandleFunc("POST "+kv.PathLeases+"/{id}", s.wrapWrite(s.serveRenew))
	s.mux.HandleFunc("DELETE "+kv.PathLeases+"/{id}", s.wrapWrite(s.serveRevoke))
	s.mux.HandleFunc("GET "+kv.PathInstances, s.wrapRead(s.serveListInstances))
	s.mux.HandleFunc("PUT /fault", s.serveFaults)
	s.mux.HandleFunc("PUT /instances", s.serveSetInstances)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Calls returns the numbers of writes and reads that have passed the rate limits.
func (s *Server) Calls() (writes, reads uint64) { return s.writeCalls.Load(), s.readCalls.Load() }

// SetFaults replaces the faults that are switched on.
func (s *Server) SetFaults(faults Faults) {
	if faults.ExpireLeases {
		s.store.expireAll()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetInstances replaces the list of instances and backend servers. Callers see the new list after the lag.
func (s *Server) SetInstances(instances []kv.ListEntry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instanceLists = append(s.instanceLists, listUpdate{setAt: s.now(), instances: instances})
}

// wrapRead applies the faults and the rate limit of reads to a handler.
func (s *Server) wrapRead(next http.HandlerFunc) http.HandlerFunc {
	return s.wrap(s.readLimiter, &s.readCalls, next)
}

// wrapWrite applies the faults and the rate limit of writes to a handler. If a response is to be lost, it closes the connection
// after the handler has run.
func (s *Server) wrapWrite(next http.HandlerFunc) http.HandlerFunc {
	return s.wrap(s.writeLimiter, &s.writeCalls, func(w http.ResponseWriter, r *http.Request) {
		if !s.takeLostResponse() {
			next(w, r)
			return
		}
		next(discardWriter{header: make(http.Header)}, r)
		panic(http.ErrAbortHandler)
	})
}

// takeLostResponse reports whether the response of the current write is to be lost, and if so decrements Faults.LoseResponses.
func (s *Server) takeLostResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.LoseResponses == 0 {
		return false
	}
	s.faults.LoseResponses--
	return true
}

// wrap applies the faults and a rate limit to a handler and counts the calls that reach it.
func (s *Server) wrap(limiter *rate.Limiter, calls *atomic.Uint64, next http.HandlerFunc) http.HandlerFunc {
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

func (s *Server) serveGet(w http.ResponseWriter, r *http.Request) {
	record, err := s.store.get(r.PathValue("key"))
	writeResult(w, record, err)
}

func (s *Server) servePut(w http.ResponseWriter, r *http.Request) {
	var put kv.Put
	body := http.MaxBytesReader(w, r.Body, 2*kv.MaxValueSize)
	if err := json.NewDecoder(body).Decode(&put); err != nil || len(put.Value) > kv.MaxValueSize {
		http.Error(w, "malformed or too large", http.StatusBadRequest)
		return
	}
	record, err := s.store.put(r.PathValue("key"), put)
	record.Value = nil
	writeResult(w, record, err)
}

func (s *Server) serveDelete(w http.ResponseWriter, r *http.Request) {
	expect, _ := strconv.ParseUint(r.URL.Query().Get("expect"), 10, 64)
	writeResult(w, struct{}{}, s.store.delete(r.PathValue("key"), expect))
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	writeResult(w, s.store.list(r.URL.Query().Get("prefix")), nil)
}

func (s *Server) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		record, found, changed := s.store.getAfter(r.PathValue("key"), after)
		if found {
			writeResult(w, record, nil)
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			writeResult(w, nil, kv.ErrNotFound)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveGrant(w http.ResponseWriter, r *http.Request) {
	var request kv.Lease
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTL <= 0 {
		http.Error(w, "malformed lease", http.StatusBadRequest)
		return
	}
	writeResult(w, s.store.grant(request.TTL), nil)
}

func (s *Server) serveRenew(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	writeResult(w, struct{}{}, s.store.renew(id))
}

func (s *Server) serveRevoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(r.PathValue("id"), 10, 64)
	s.store.revoke(id)
	writeResult(w, struct{}{}, nil)
}

func (s *Server) serveListInstances(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	visible := make([]kv.ListEntry, 0)
	for _, update := range s.instanceLists {
		if s.now().Sub(update.setAt) >= s.listLag {
			visible = update.instances
		}
	}
	writeResult(w, visible, nil)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveSetInstances(w http.ResponseWriter, r *http.Request) {
	var instances []kv.ListEntry
	if err := json.NewDecoder(r.Body).Decode(&instances); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetInstances(instances)
}

// writeResult writes the result as JSON, or the status for the error.
func writeResult(w http.ResponseWriter, result any, err error) {
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

// discardWriter is an http.ResponseWriter that discards the response.
type discardWriter struct{ header http.Header }

// Header returns headers that are discarded.
func (d discardWriter) Header() http.Header { return d.header }

// Write discards the body and reports it as written.
func (d discardWriter) Write(p []byte) (int, error) { return len(p), nil }

// WriteHeader discards the status.
func (d discardWriter) WriteHeader(int) {}
