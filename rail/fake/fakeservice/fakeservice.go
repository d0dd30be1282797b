package fakeservice

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// CallHeader is the header by which the service tells calls apart when it counts their runs.
const CallHeader = "Fake-Call"

// Faults are the faults that the service shows.
type Faults struct {
	// Delay is the time that each call takes.
	Delay time.Duration `json:"delay"`
	// DropResponses breaks the connection after the call has run.
	DropResponses bool `json:"drop_answers"`
	// Refuse refuses every call before running it.
	Refuse bool `json:"refuse"`
	// Freeze keeps every call waiting after it has run.
	Freeze bool `json:"freeze"`
}

// Config configures a Server.
type Config struct {
	// Name identifies the backend server.
	Name string
}

// Server is the stand-in; it serves HTTP.
type Server struct {
	name string
	mux  *http.ServeMux

	mu      sync.Mutex
	runs    map[string]int
	total   int
	current int
	leaving bool
	faults  Faults
}

// Result is the body of every successful answer.
type Result struct {
	// Server is the name of the backend server that ran the call.
	Server string `json:"server"`
	// Call is the value of CallHeader.
	Call string `json:"call"`
	// Runs is the number of times that the call has run.
	Runs int `json:"runs"`
	// Body is the body of the request.
	Body string `json:"body"`
}

// New returns a Server that has run nothing.
func New(config Config) *Server {
	s := &Server{name: config.Name, mux: http.NewServeMux(), runs: make(map[string]int)}
	s.mux.HandleFunc("GET "+engine.PathStatus, s.status)
	s.mux.HandleFunc("GET /runs", s.getRuns)
	s.mux.HandleFunc("PUT /fault", s.putFaults)
	s.mux.HandleFunc("PUT /leaving", s.putLeaving)
	s.mux.HandleFunc("/", s.call)
	return s
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

// Runs returns the number of times that the call has run.
func (s *Server) Runs(call string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runs[call]
}

// SetFaults replaces the faults that the service shows.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// SetLeaving makes the service refuse new work, or take it again.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = leaving
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
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
	s.current++
	result := Result{Server: s.name, Call: call, Runs: s.runs[call], Body: string(body)}
	s.mu.Unlock()
	defer s.leave()
	time.Sleep(faults.Delay)
	if faults.Freeze {
		<-r.Context().Done()
	}
	if faults.DropResponses {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

func (s *Server) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current--
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(engine.Status{Server: s.name, Queue: s.current, Slots: 64, Leaving: s.leaving})
}

func (s *Server) getRuns(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(s.runs)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if err := json.NewDecoder(r.Body).Decode(&faults); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(faults)
}

func (s *Server) putLeaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if err := json.NewDecoder(r.Body).Decode(&leaving); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetLeaving(leaving)
}
