package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// CallHeader is the header with the id of the call, by which the service counts runs.
const CallHeader = "Fake-Call"

// Faults selects the faults that a Server injects; the zero value injects none.
type Faults struct {
	// Delay is the run time of each call.
	Delay time.Duration `json:"delay"`
	// LoseResponses closes the connection after the call has run, without a response.
	LoseResponses bool `json:"drop_answers"`
	// Refuse makes the service refuse every call before it runs.
	Refuse bool `json:"refuse"`
	// Freeze holds every response back after the call has run, until the request is canceled.
	Freeze bool `json:"freeze"`
}

// Config configures a Server.
type Config struct {
	// Name is the name of the backend server.
	Name string
}

// Server is the stand-in for the service, an http.Handler.
type Server struct {
	name string
	mux  *http.ServeMux

	mu      sync.Mutex
	runs    map[string]int // number of runs of each call
	total   int            // number of runs of all calls; not reported
	running int            // number of calls in progress
	leaving bool
	faults  Faults
}

// Result is the body of a successful response.
type Result struct {
	// Server is the name of the backend server that ran the call.
	Server string `json:"server"`
	// Call is the request's value of CallHeader.
	Call string `json:"call"`
	// Runs is the number of times that the call has run, including this one.
	Runs int `json:"runs"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// New returns a Server that has run no calls.
func New(config Config) *Server {
	s := &Server{name: config.Name, mux: http.NewServeMux(), runs: make(map[string]int)}
	s.mux.HandleFunc("GET "+engine.PathStatus, s.serveStatus)
	s.mux.HandleFunc("GET /runs", s.serveRuns)
	s.mux.HandleFunc("PUT /fault", s.serveFaults)
	s.mux.HandleFunc("PUT /leaving", s.serveLeaving)
	s.mux.HandleFunc("/", s.serveCall)
	return s
}

// ServeHTTP serves one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns the number of times that the call with the given CallHeader has run.
func (s *Server) Runs(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[call]
}

// SetFaults replaces the faults that are switched on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetLeaving sets whether the service refuses new calls.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	faults := s.faults
	if s.leaving || faults.Refuse {
		s.mu.Unlock()
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = json.NewEncoder(w).Encode(engine.Refusal{Refused: true, Reason: "leaving"})
		return
	}
	call := r.Header.Get(CallHeader)
	s.runs[call]++
	s.total++
	s.running++
	result := Result{Server: s.name, Call: call, Runs: s.runs[call], Body: string(body)}
	s.mu.Unlock()
	defer s.endCall()
	time.Sleep(faults.Delay)
	if faults.Freeze {
		<-r.Context().Done()
	}
	if faults.LoseResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

// endCall decrements the number of calls in progress.
func (s *Server) endCall() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}

func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(engine.Status{Server: s.name, Queue: s.running, Slots: 64, Leaving: s.leaving})
}

func (s *Server) serveRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if err := json.NewDecoder(r.Body).Decode(&leaving); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetLeaving(leaving)
}
