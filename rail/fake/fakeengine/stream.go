package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
)

// state is one attempt of a stream at this stage.
type state struct {
	open     engine.Open
	ctx      context.Context
	cancel   context.CancelFunc
	tokens   chan engine.Activation
	imported chan struct{}
	running  bool
	progress engine.Progress
}

// endMark remembers the last attempt of a stream that has ended.
type endMark struct {
	attempt int
	at      time.Time
}

func (s *Server) open(w http.ResponseWriter, r *http.Request) {
	var open engine.Open
	if !decode(w, r, &open) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(time.Now())
	if reason := s.refusal(open); reason != "" {
		refuse(w, reason)
		return
	}
	if old, ok := s.streams[open.Stream]; ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	opened := &state{
		open: open, ctx: ctx, cancel: cancel, tokens: make(chan engine.Activation, 1), imported: make(chan struct{}),
		progress: engine.Progress{Attempt: open.Attempt},
	}
	s.streams[open.Stream] = opened
	go s.importKV(opened)
	reply(w, struct{}{})
}

// refusal returns why the stage cannot be opened, or nothing.
func (s *Server) refusal(open engine.Open) string {
	if open.Index < 0 || open.Index >= len(open.Hops) {
		return "index out of range"
	}
	hop := open.Hops[open.Index]
	old, known := s.streams[open.Stream]
	_, cached := s.caches[open.Stream]
	switch {
	case s.held.Leaving && !known && !cached:
		return "leaving"
	case open.Version != s.held.Version:
		return "version"
	case hop.First < s.held.First || hop.Last > s.held.Last:
		return "layers"
	case open.Attempt <= s.ended[open.Stream].attempt:
		return "attempt has ended"
	case known && old.open.Attempt >= open.Attempt:
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

// probe answers how far this stage has come with a stream.
func (s *Server) probe(w http.ResponseWriter, r *http.Request) {
	var probe engine.StreamQuery
	if !decode(w, r, &probe) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var progress engine.Progress
	if found, ok := s.streams[probe.Stream]; ok {
		progress = found.progress
	}
	if held, ok := s.caches[probe.Stream]; ok {
		progress.CachedTokens = held.CachedTokens
	}
	reply(w, progress)
}

func (s *Server) cancelStream(w http.ResponseWriter, r *http.Request) {
	var cancel engine.Cancel
	if !decode(w, r, &cancel) {
		return
	}
	s.endStream(cancel.Stream, cancel.Attempt)
	s.mu.Lock()
	delete(s.caches, cancel.Stream)
	s.mu.Unlock()
	reply(w, struct{}{})
}

// endStream drops attempts of a stream; its KV cache is kept for a later attempt.
func (s *Server) endStream(stream string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt > s.ended[stream].attempt {
		s.ended[stream] = endMark{attempt, time.Now()}
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
	if activation.Error != "" {
		stream.yield(activation)
		return
	}
	s.mu.Lock()
	stream.progress.Received = activation.Position + 1
	s.mu.Unlock()
	go s.step(stream, activation)
}

// yield hands a token, or an error, to the run at the last stage.
func (s *state) yield(activation engine.Activation) {
	select {
	case s.tokens <- activation:
	case <-s.ctx.Done():
	}
}

func (s *Server) step(stream *state, activation engine.Activation) {
	select {
	case <-stream.imported:
	case <-stream.ctx.Done():
		return
	}
	if s.prefill(stream, activation) != nil || s.batch.run(stream.ctx, stream.open.Priority, 0) != nil {
		return
	}
	s.freeze(stream.ctx)
	if stream.ctx.Err() != nil {
		return
	}
	s.fill(activation)
	hop := stream.open.Hops[stream.open.Index]
	last := hop.Last
	if s.currentFaults().SkipLayer {
		last--
	}
	activation.State = fakemodel.Apply(activation.State, hop.First, last)
	activation.Receipts = append(activation.Receipts, s.receipt(stream))
	s.mu.Lock()
	stream.progress.Forwarded = activation.Position + 1
	s.mu.Unlock()
	if stream.open.Index == len(stream.open.Hops)-1 {
		stream.yield(activation)
		return
	}
	wait(stream.ctx, s.config.LinkTime)
	s.pass(stream, activation)
}

// pass sends the activation to the next stage, or tells the last stage why it cannot.
func (s *Server) pass(stream *state, activation engine.Activation) {
	activation.Index++
	hops := stream.open.Hops
	err := s.send(stream, hops[activation.Index].Address, activation)
	if err == nil || stream.ctx.Err() != nil {
		return
	}
	activation.Index, activation.Error = len(hops)-1, err.Error()
	_ = s.send(stream, hops[activation.Index].Address, activation)
}

// receipt says what this stage runs for the stream.
func (s *Server) receipt(stream *state) engine.Receipt {
	hop := stream.open.Hops[stream.open.Index]
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Receipt{
		Server: s.config.Name, First: hop.First, Last: hop.Last,
		Version: s.held.Version, Queue: len(s.streams),
	}
}

// send passes an activation on; attempts after the first use new connections.
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
	client := s.client
	if activation.Attempt > 1 {
		client = s.fresh
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, _ = io.Copy(io.Discard, response.Body)
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("stage %q answered with status %d", address, response.StatusCode)
	}
	return nil
}

// start claims the run of the attempt, once.
func (s *Server) start(run engine.Run) *state {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[run.Stream]
	if !ok || found.open.Attempt != run.Attempt || found.open.Index != len(found.open.Hops)-1 || found.running {
		return nil
	}
	found.running = true
	return found
}

// run streams the tokens of an answer from the last stage.
func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	var run engine.Run
	if !decode(w, r, &run) {
		return
	}
	stream := s.start(run)
	if stream == nil {
		refuse(w, "no such stream")
		return
	}
	defer s.endStream(run.Stream, run.Attempt)
	stop := context.AfterFunc(r.Context(), stream.cancel)
	defer stop()
	out := &frames{w: w, server: s, stream: stream, digest: engine.NewDigest(run.Stream).AddAll(run.Resume)}
	_ = http.NewResponseController(w).Flush()
	tokens := append([]string(nil), run.Resume...)
	limit := fakemodel.StopAfter(run.Prompt, run.MaxTokens)
	for len(tokens) < limit {
		if truncate := s.currentFaults().TruncateAfter; truncate > 0 && len(tokens) >= truncate {
			return
		}
		token, err := s.next(stream, run, tokens, out)
		if err != nil {
			out.send(engine.Frame{Position: len(tokens), Error: err.Error()})
			return
		}
		tokens = append(tokens, token)
	}
	end := engine.Frame{Position: len(tokens), End: true, Finish: engine.FinishLength, Receipts: []engine.Receipt{s.receipt(stream)}}
	if limit < run.MaxTokens {
		end.Finish = engine.FinishStop
	}
	out.send(end)
}

// first returns the activation of the next token before the first layer.
func first(run engine.Run, tokens []string) engine.Activation {
	activation := engine.Activation{
		Stream: run.Stream, Attempt: run.Attempt, Position: len(tokens),
		Context: fakemodel.HashContext(run.Prompt, tokens),
		Length:  engine.PromptTokens(run.Prompt) + len(tokens),
		Prefix:  engine.PrefixHash(run.Prompt),
	}
	activation.State = activation.Context
	if len(tokens) > 0 {
		activation.Previous = fakemodel.HashContext(run.Prompt, tokens[:len(tokens)-1])
	}
	return activation
}

// next runs one token through the chain and sends it.
func (s *Server) next(stream *state, run engine.Run, tokens []string, out *frames) (token string, err error) {
	failed := make(chan error, 1)
	go func() {
		if err := s.send(stream, stream.open.Hops[0].Address, first(run, tokens)); err != nil {
			failed <- err
		}
	}()
	ticker := time.NewTicker(engine.KeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case done := <-stream.tokens:
			if done.Error != "" {
				return "", errors.New(done.Error)
			}
			if done.Position != len(tokens) {
				continue
			}
			token = fakemodel.Token(done.State)
			s.freeze(stream.ctx)
			out.send(engine.Frame{Position: done.Position, Token: token, Receipts: done.Receipts})
			return token, nil
		case err = <-failed:
			return "", err
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
	digest engine.Digest
	trace  engine.Trace
}

func (f *frames) send(frame engine.Frame) {
	frame.Stream, frame.Attempt = f.stream.open.Stream, f.stream.open.Attempt
	if frame.Token != "" {
		f.digest = f.digest.Add(frame.Token)
		if frame.Trace = engine.TraceOf(frame.Receipts); frame.Trace == f.trace {
			frame.Receipts = nil
		}
		f.trace = frame.Trace
	}
	if frame.Token != "" || frame.End {
		frame.Sum = uint64(f.digest)
	}
	faults := f.server.currentFaults()
	if faults.WrongStream {
		frame.Stream = "crossed"
	}
	encoder := json.NewEncoder(f.w)
	_ = encoder.Encode(frame)
	if faults.DuplicateFrames {
		_ = encoder.Encode(frame)
	}
	_ = http.NewResponseController(f.w).Flush()
}
