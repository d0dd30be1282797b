package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
)

// Faults are the faults that the engine shows.
type Faults struct {
	// Freeze stops all answers, new ones too, while connections stay open.
	Freeze bool `json:"freeze"`
	// Crash breaks every connection and refuses new work.
	Crash bool `json:"crash"`
	// SkipLayer leaves out the last layer of the range but claims to have run it.
	SkipLayer bool `json:"skip_layer"`
	// Repeat sends every frame twice.
	Repeat bool `json:"repeat"`
	// Cross sends frames with the stream of another request.
	Cross bool `json:"cross"`
	// Truncate ends answers after this many tokens without an end; zero for never.
	Truncate int `json:"truncate"`
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
	// LinkTime is the time that an activation takes to the next stage.
	LinkTime time.Duration
	// Slots is the number of activations in one batch.
	Slots int
	// Lag is the delay of the reported load.
	Lag time.Duration
	// ChecksFence tells that the engine refuses orders with an old fencing number.
	ChecksFence bool
}

// Server is the stand-in; it serves HTTP.
type Server struct {
	config Config
	mux    *http.ServeMux
	batch  *batch
	client *http.Client

	mu      sync.Mutex
	held    engine.Status
	streams map[string]*state
	ended   map[string]int
	faults  Faults
	fence   uint64
	load    []sample
	cancel  context.CancelFunc
	ctx     context.Context
}

// state is one stream at this stage.
type state struct {
	open   engine.Open
	ctx    context.Context
	cancel context.CancelFunc
	tokens chan engine.Activation
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
		config:  config,
		mux:     http.NewServeMux(),
		batch:   newBatch(config.Slots, time.Duration(config.Last-config.First)*config.LayerTime),
		client:  &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}},
		streams: make(map[string]*state),
		ended:   make(map[string]int),
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
	for len(s.load) > 1 && now.Sub(s.load[1].at) >= s.config.Lag {
		s.load = s.load[1:]
	}
	report.Queue = s.load[0].queue
	s.mu.Unlock()
	reply(w, report)
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var open engine.Open
	if !decode(w, r, &open) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if reason := s.refusal(open); reason != "" {
		refuse(w, reason)
		return
	}
	if old, ok := s.streams[open.Stream]; ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	s.streams[open.Stream] = &state{open: open, ctx: ctx, cancel: cancel, tokens: make(chan engine.Activation, 1)}
	reply(w, struct{}{})
}

// refusal returns why the stage cannot be opened, or nothing.
func (s *Server) refusal(open engine.Open) string {
	if open.Index < 0 || open.Index >= len(open.Hops) {
		return "index out of range"
	}
	hop := open.Hops[open.Index]
	switch {
	case s.held.Leaving:
		return "leaving"
	case open.Version != s.held.Version:
		return "version"
	case hop.First < s.held.First || hop.Last > s.held.Last:
		return "layers"
	case open.Attempt <= s.ended[open.Stream]:
		return "attempt has ended"
	}
	if old, ok := s.streams[open.Stream]; ok && old.open.Attempt >= open.Attempt {
		return "a later attempt is open"
	}
	return ""
}

func (s *Server) find(stream string, attempt int) *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[stream]
	if !ok || found.open.Attempt != attempt {
		return nil
	}
	return found
}

func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	var cancel engine.Cancel
	if !decode(w, r, &cancel) {
		return
	}
	s.endStream(cancel.Stream, cancel.Attempt)
	reply(w, struct{}{})
}

func (s *Server) endStream(stream string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt > s.ended[stream] {
		s.ended[stream] = attempt
	}
	if found, ok := s.streams[stream]; ok && found.open.Attempt <= attempt {
		found.cancel()
		delete(s.streams, stream)
	}
}

// activation takes a token from the previous stage, runs the layers and passes it on.
func (s *Server) activation(w http.ResponseWriter, r *http.Request) {
	var activation engine.Activation
	if !decode(w, r, &activation) {
		return
	}
	stream := s.find(activation.Stream, activation.Attempt)
	if stream == nil || stream.open.Index != activation.Index {
		refuse(w, "no such stream")
		return
	}
	reply(w, struct{}{})
	go s.step(stream, activation)
}

func (s *Server) step(stream *state, activation engine.Activation) {
	if s.batch.run(stream.ctx, stream.open.Priority) != nil {
		return
	}
	s.freeze(stream.ctx)
	hop := stream.open.Hops[stream.open.Index]
	last := hop.Last
	if s.currentFaults().SkipLayer {
		last--
	}
	activation.Context = fakemodel.Apply(activation.Context, hop.First, last)
	s.mu.Lock()
	receipt := engine.Receipt{
		Server: s.config.Name, First: hop.First, Last: hop.Last,
		Version: s.held.Version, Queue: len(s.streams),
	}
	s.mu.Unlock()
	activation.Receipts = append(activation.Receipts, receipt)
	if stream.open.Index == len(stream.open.Hops)-1 {
		select {
		case stream.tokens <- activation:
		case <-stream.ctx.Done():
		}
		return
	}
	activation.Index++
	time.Sleep(s.config.LinkTime)
	_ = s.send(stream, stream.open.Hops[activation.Index].Address, activation)
}

func (s *Server) send(stream *state, address string, activation engine.Activation) error {
	body, err := json.Marshal(activation)
	if err != nil {
		return err
	}
	url := "http://" + address + engine.PathActivation
	request, err := http.NewRequestWithContext(stream.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	response, err := s.client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stage %q answered with status %d", address, response.StatusCode)
	}
	return nil
}

// aliveInterval is the time between frames that show that a stream without tokens is alive.
const aliveInterval = 100 * time.Millisecond

// run streams the tokens of an answer from the last stage.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var run engine.Run
	if !decode(w, r, &run) {
		return
	}
	stream := s.find(run.Stream, run.Attempt)
	if stream == nil || stream.open.Index != len(stream.open.Hops)-1 {
		refuse(w, "no such stream")
		return
	}
	defer s.endStream(run.Stream, run.Attempt)
	go func() {
		<-r.Context().Done()
		stream.cancel()
	}()
	out := &frames{w: w, server: s, stream: stream}
	tokens := append([]string(nil), run.Resume...)
	for len(tokens) < run.MaxTokens {
		if truncate := s.currentFaults().Truncate; truncate > 0 && len(tokens) >= truncate {
			return
		}
		token, err := s.next(stream, run, tokens, out)
		if err != nil {
			out.send(engine.Frame{Position: len(tokens), Error: err.Error()})
			return
		}
		tokens = append(tokens, token)
	}
	out.send(engine.Frame{Position: len(tokens), End: true})
}

// next runs one token through the chain and sends it.
func (s *Server) next(stream *state, run engine.Run, tokens []string, out *frames) (token string, err error) {
	first := engine.Activation{
		Stream: run.Stream, Attempt: run.Attempt, Position: len(tokens),
		Context: fakemodel.Context(run.Prompt, tokens),
	}
	if err = s.send(stream, stream.open.Hops[0].Address, first); err != nil {
		return "", err
	}
	ticker := time.NewTicker(aliveInterval)
	defer ticker.Stop()
	for {
		select {
		case done := <-stream.tokens:
			if done.Position != len(tokens) {
				continue
			}
			token = fakemodel.Token(done.Context)
			s.freeze(stream.ctx)
			out.send(engine.Frame{Position: done.Position, Token: token, Receipts: done.Receipts})
			return token, nil
		case <-ticker.C:
			s.freeze(stream.ctx)
			out.send(engine.Frame{Position: len(tokens), Alive: true})
		case <-stream.ctx.Done():
			if s.currentFaults().Crash {
				panic(http.ErrAbortHandler)
			}
			return "", stream.ctx.Err()
		}
	}
}

// frames writes the frames of one attempt.
type frames struct {
	w      http.ResponseWriter
	server *Server
	stream *state
}

func (f *frames) send(frame engine.Frame) {
	frame.Stream, frame.Attempt = f.stream.open.Stream, f.stream.open.Attempt
	faults := f.server.currentFaults()
	if faults.Cross {
		frame.Stream = "crossed"
	}
	encoder := json.NewEncoder(f.w)
	_ = encoder.Encode(frame)
	if faults.Repeat {
		_ = encoder.Encode(frame)
	}
	_ = http.NewResponseController(f.w).Flush()
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
