package fakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Faults are the faults that the engine shows.
type Faults struct {
	// Freeze stops all answers, new ones too, while connections stay open.
	Freeze bool `json:"freeze"`
	// Crash breaks every connection and refuses new work.
	Crash bool `json:"crash"`
	// SkipLayer leaves out the last layer of the range but claims to have run it.
	SkipLayer bool `json:"skip_layer"`
	// DuplicateFrames sends every frame twice.
	DuplicateFrames bool `json:"repeat"`
	// WrongStream sends frames with the stream of another request.
	WrongStream bool `json:"cross"`
	// TruncateAfter ends answers after this many tokens without an end; zero for never.
	TruncateAfter int `json:"truncate"`
}

// Config configures a Server.
type Config struct {
	// Name identifies the backend server.
	Name string
	// Kind is the kind of accelerator.
	Kind string
	// First is the first layer that the engine holds.
	First int
	// Last is the layer after the last one that the engine holds.
	Last int
	// Version is the version of the model.
	Version string
	// LayerTime is the time of one layer for one batch.
	LayerTime time.Duration
	// PrefillTime is the time of one layer for one token of a prompt or of a replay.
	PrefillTime time.Duration
	// ImportTime is the time to import one layer of the KV cache of one token.
	ImportTime time.Duration
	// MaxPrefixes is the number of prompt prefixes that the engine caches.
	MaxPrefixes int
	// EventLag is the delay of the cache events.
	EventLag time.Duration
	// EventGap loses each cache event whose number is a multiple of it; zero loses none.
	EventGap int
	// LinkTime is the time that an activation takes to the next stage.
	LinkTime time.Duration
	// Slots is the number of activations in one batch.
	Slots int
	// LoadLag is the delay of the reported load.
	LoadLag time.Duration
	// ChecksFence tells that the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// Server is the stand-in; it serves HTTP.
type Server struct {
	config Config
	mux    *http.ServeMux
	batch  *batch
	client *http.Client
	fresh  *http.Client

	mu       sync.Mutex
	held     engine.Status
	streams  map[string]*state
	caches   map[string]*kv
	prefixes prefixes
	ended    map[string]endMark
	faults   Faults
	fence    uint64
	load     []sample
	replayed int
	cancel   context.CancelFunc
	ctx      context.Context
}

// sample is the load at one moment.
type sample struct {
	at    time.Time
	queue int
}

// New returns a Server that runs until Close.
func New(config Config) *Server {
	if config.Slots == 0 {
		config.Slots = 8
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:   config,
		mux:      http.NewServeMux(),
		batch:    newBatch(config.Slots, time.Duration(config.Last-config.First)*config.LayerTime),
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		fresh:    &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		streams:  make(map[string]*state),
		caches:   make(map[string]*kv),
		ended:    make(map[string]endMark),
		prefixes: prefixes{limit: config.MaxPrefixes, gap: uint64(config.EventGap), lag: config.EventLag},
		held: engine.Status{
			Server: config.Name, Kind: config.Kind, First: config.First, Last: config.Last,
			Version: config.Version, LayerTime: config.LayerTime, Slots: config.Slots,
		},
		ctx:    ctx,
		cancel: cancel,
	}
	s.mux.HandleFunc("GET "+engine.PathStatus, s.status)
	s.mux.HandleFunc("POST "+engine.PathOpen, s.open)
	s.mux.HandleFunc("POST "+engine.PathRun, s.run)
	s.mux.HandleFunc("POST "+engine.PathProbe, s.probe)
	s.mux.HandleFunc("POST "+engine.PathExport, s.export)
	s.mux.HandleFunc("POST "+engine.PathCancel, s.cancelStream)
	s.mux.HandleFunc("POST "+engine.PathActivation, s.activation)
	s.mux.HandleFunc("POST "+engine.PathOrder, s.order)
	s.mux.HandleFunc("PUT /fault", s.putFaults)
	s.mux.HandleFunc("PUT /leaving", s.putLeaving)
	go s.batch.loop(ctx)
	return s
}

// Close ends all streams.
func (s *Server) Close() { s.cancel() }

// Prefilled returns the number of tokens that the engine replayed because their KV cache was missing.
func (s *Server) Prefilled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.replayed
}

// SetFaults replaces the faults that the engine shows.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if !faults.Crash {
		return
	}
	for _, stream := range s.streams {
		stream.cancel()
	}
	clear(s.streams)
	clear(s.caches)
	clear(s.ended)
}

// SetLeaving makes the engine refuse new work, or take it again.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held.Leaving = leaving
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ServeHTTP answers one call.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	faults := s.currentFaults()
	if r.URL.Path == "/fault" {
		s.mux.ServeHTTP(w, r)
		return
	}
	if faults.Crash {
		panic(http.ErrAbortHandler)
	}
	if faults.Freeze {
		s.freeze(r.Context())
	}
	s.mux.ServeHTTP(w, r)
}

// freeze waits until the engine thaws or the context ends.
func (s *Server) freeze(ctx context.Context) {
	for s.currentFaults().Freeze {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

func (s *Server) status(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.held
	now := time.Now()
	s.load = append(s.load, sample{at: now, queue: len(s.streams)})
	for len(s.load) > 1 && now.Sub(s.load[1].at) >= s.config.LoadLag {
		s.load = s.load[1:]
	}
	report.Queue = s.load[0].queue
	report.Cache = s.prefixes.published(now)
	s.mu.Unlock()
	reply(w, report)
}

// order changes the layers and version that the engine holds.
func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !decode(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFence && order.Fence < s.fence {
		refuse(w, "fence")
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.held.First, s.held.Last, s.held.Version = order.First, order.Last, order.Version
	reply(w, s.held)
}

func (s *Server) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) putLeaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if decode(w, r, &leaving) {
		s.SetLeaving(leaving)
	}
}

func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(w http.ResponseWriter, result any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

// refuse answers that nothing was run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Refused: true, Reason: reason})
}
