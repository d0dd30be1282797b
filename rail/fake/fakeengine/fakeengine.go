package fakeengine

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// Faults selects the faults that a Server injects; the zero value injects none.
type Faults struct {
	// Freeze holds back all responses, also those to new calls, while connections stay open.
	Freeze bool `json:"freeze"`
	// Crash closes the connection of every call and removes all streams, their KV caches and their tombstones.
	// The prefix cache is kept.
	Crash bool `json:"crash"`
	// SkipLayer makes the engine skip the last layer of the range and still report it in the receipt.
	SkipLayer bool `json:"skip_layer"`
	// DuplicateFrames makes the engine send every frame twice.
	DuplicateFrames bool `json:"repeat"`
	// WrongStream makes the engine send frames with the stream id "crossed".
	WrongStream bool `json:"cross"`
	// TruncateAfter is the number of tokens after which answers stop without an end frame; zero means never.
	TruncateAfter int `json:"truncate"`
}

// Config configures a Server.
type Config struct {
	// Name is the name of the backend server.
	Name string
	// Kind is the kind of accelerator.
	Kind string
	// First is the first layer that the engine holds.
	First int
	// Last is the layer after the last one that the engine holds.
	Last int
	// Version is the version of the model.
	Version string
	// LayerTime is the time of one layer in one step, regardless of the number of jobs in it.
	LayerTime time.Duration
	// PrefillTime is the time of one layer for one prefilled token.
	PrefillTime time.Duration
	// ImportTime is the time to import one layer of the KV cache of one token.
	ImportTime time.Duration
	// MaxPrefixes is the maximum number of prompt prefixes in the cache.
	MaxPrefixes int
	// EventLag is the time until a cache event is reported.
	EventLag time.Duration
	// DropEveryNthEvent makes the engine lose each cache event whose sequence number is a multiple of it; zero loses none.
	DropEveryNthEvent int
	// LinkLatency is the time that an activation takes to reach the next stage.
	LinkLatency time.Duration
	// Slots is the maximum number of activations and chunks of prefill in one step; zero means 8.
	Slots int
	// LoadLag is the minimum age of the reported load; until a status request is that old, the load of the oldest one is reported.
	LoadLag time.Duration
	// ChecksFence makes the engine refuse orders with a lower fencing token than it has seen.
	ChecksFence bool
}

// Server is the stand-in for the engine, an http.Handler.
type Server struct {
	config         Config
	mux            *http.ServeMux
	batcher        *batcher
	client         *http.Client
	unpooledClient *http.Client // uses a new connection for each call

	mu           sync.Mutex
	current      engine.Status // without the load and the cache events
	streams      map[string]*streamAttempt
	caches       map[string]*kvCache
	prefixes     prefixCache
	endedStreams map[string]streamEnd
	faults       Faults
	fence        uint64 // greatest fencing token of an order
	loadSamples  []loadSample
	prefilled    int
	cancel       context.CancelFunc
	ctx          context.Context
}

// loadSample is the load at the time of a status request.
type loadSample struct {
	at    time.Time
	queue int
}

// New returns a Server and starts its batcher, which runs until Close.
func New(config Config) *Server {
	if config.Slots == 0 {
		config.Slots = 8
	}
	ctx, cancel := context.WithCancel(context.Background())
	s := &Server{
		config:         config,
		mux:            http.NewServeMux(),
		batcher:        newBatcher(config.Slots, time.Duration(config.Last-config.First)*config.LayerTime),
		client:         &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		unpooledClient: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
		streams:        make(map[string]*streamAttempt),
		caches:         make(map[string]*kvCache),
		endedStreams:   make(map[string]streamEnd),
		prefixes:       prefixCache{limit: config.MaxPrefixes, dropEveryNth: uint64(config.DropEveryNthEvent), eventLag: config.EventLag},
		current: engine.Status{
			Server: config.Name, Kind: config.Kind, First: config.First, Last: config.Last,
			Version: config.Version, LayerTime: config.LayerTime, Slots: config.Slots,
		},
		ctx:    ctx,
		cancel: cancel,
	}
	s.mux.HandleFunc("GET "+engine.PathStatus, s.serveStatus)
	s.mux.HandleFunc("POST "+engine.PathOpen, s.serveOpen)
	s.mux.HandleFunc("POST "+engine.PathRun, s.serveRun)
	s.mux.HandleFunc("POST "+engine.PathProbe, s.serveProbe)
	s.mux.HandleFunc("POST "+engine.PathExport, s.serveExport)
	s.mux.HandleFunc("POST "+engine.PathCancel, s.serveCancel)
	s.mux.HandleFunc("POST "+engine.PathActivation, s.serveActivation)
	s.mux.HandleFunc("POST "+engine.PathOrder, s.serveOrder)
	s.mux.HandleFunc("PUT /fault", s.serveFaults)
	s.mux.HandleFunc("PUT /leaving", s.serveLeaving)
	go s.batcher.loop(ctx)
	return s
}

// Close ends all streams and stops the batcher.
func (s *Server) Close() { s.cancel() }

// Prefilled returns the number of tokens that the engine has prefilled because they were missing from the KV cache.
func (s *Server) Prefilled() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.prefilled
}

// SetFaults replaces the faults that are switched on.
func (s *Server) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
	if !faults.Crash {
		return
	}
	for _, attempt := range s.streams {
		attempt.cancel()
	}
	clear(s.streams)
	clear(s.caches)
	clear(s.endedStreams)
}

// SetLeaving sets whether the engine refuses new streams.
func (s *Server) SetLeaving(leaving bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current.Leaving = leaving
}

func (s *Server) currentFaults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ServeHTTP serves one call.
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
		s.waitWhileFrozen(r.Context())
	}
	s.mux.ServeHTTP(w, r)
}

// waitWhileFrozen waits until the fault Freeze is off or the context ends.
func (s *Server) waitWhileFrozen(ctx context.Context) {
	for s.currentFaults().Freeze {
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return
		}
	}
}

// serveStatus responds with the status, the published cache events and the load as of the newest status request that is at least
// LoadLag old, or of the oldest one if none is.
func (s *Server) serveStatus(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	report := s.current
	now := time.Now()
	s.loadSamples = append(s.loadSamples, loadSample{at: now, queue: len(s.streams)})
	for len(s.loadSamples) > 1 && now.Sub(s.loadSamples[1].at) >= s.config.LoadLag {
		s.loadSamples = s.loadSamples[1:]
	}
	report.Queue = s.loadSamples[0].queue
	report.Cache = s.prefixes.published(now)
	s.mu.Unlock()
	writeResult(w, report)
}

// serveOrder sets the layers and the version that the engine holds.
func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var order engine.Order
	if !decode(w, r, &order) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.config.ChecksFence && order.Fence < s.fence {
		writeRefusal(w, "fence")
		return
	}
	s.fence = max(s.fence, order.Fence)
	s.current.First, s.current.Last, s.current.Version = order.First, order.Last, order.Version
	writeResult(w, s.current)
}

func (s *Server) serveFaults(w http.ResponseWriter, r *http.Request) {
	var faults Faults
	if decode(w, r, &faults) {
		s.SetFaults(faults)
	}
}

func (s *Server) serveLeaving(w http.ResponseWriter, r *http.Request) {
	var leaving bool
	if decode(w, r, &leaving) {
		s.SetLeaving(leaving)
	}
}

// decode decodes the JSON body of a request. If that fails, it responds with status 400 and returns false.
func decode(w http.ResponseWriter, r *http.Request, into any) bool {
	if err := json.NewDecoder(r.Body).Decode(into); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func writeResult(w http.ResponseWriter, result any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(result)
}

// writeRefusal responds that the engine has run nothing for the request.
func writeRefusal(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusServiceUnavailable)
	_ = json.NewEncoder(w).Encode(engine.Refusal{Refused: true, Reason: reason})
}
