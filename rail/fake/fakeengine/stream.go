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

// streamAttempt is one attempt of a stream at this stage.
type streamAttempt struct {
	open     engine.Open
	ctx      context.Context
	cancel   context.CancelFunc
	results  chan engine.Activation // results for the run, at the last stage
	imported chan struct{}          // closed once the import of the KV cache has ended
	running  bool
	progress engine.Progress
}

// streamEnd is the tombstone of a stream: the number of its latest attempt that has ended. Attempts up to it can't be opened
// again.
type streamEnd struct {
	attempt int
	endedAt time.Time
}

// serveOpen opens an attempt of a stream at this stage and cancels the earlier one.
func (s *Server) serveOpen(w http.ResponseWriter, r *http.Request) {
	var open engine.Open
	if !decode(w, r, &open) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.evictUnused(time.Now())
	if reason := s.refusalReason(open); reason != "" {
		writeRefusal(w, reason)
		return
	}
	if old, ok := s.streams[open.Stream]; ok {
		old.cancel()
	}
	ctx, cancel := context.WithCancel(s.ctx)
	opened := &streamAttempt{
		open: open, ctx: ctx, cancel: cancel, results: make(chan engine.Activation, 1), imported: make(chan struct{}),
		progress: engine.Progress{Attempt: open.Attempt},
	}
	s.streams[open.Stream] = opened
	go s.importKV(opened)
	writeResult(w, struct{}{})
}

// refusalReason returns the reason why the stage can't be opened, or an empty string if it can.
// s.mu must be held.
func (s *Server) refusalReason(open engine.Open) string {
	if open.Index < 0 || open.Index >= len(open.Stages) {
		return "index out of range"
	}
	stage := open.Stages[open.Index]
	old, opened := s.streams[open.Stream]
	_, cached := s.caches[open.Stream]
	switch {
	case s.current.Leaving && !opened && !cached:
		return "leaving"
	case open.Version != s.current.Version:
		return "version"
	case stage.First < s.current.First || stage.Last > s.current.Last:
		return "layers"
	case open.Attempt <= s.endedStreams[open.Stream].attempt:
		return "attempt has ended"
	case opened && old.open.Attempt >= open.Attempt:
		return "a later attempt is open"
	}
	return ""
}

// findAttempt returns the open attempt of a stream, or nil if that isn't the given one.
func (s *Server) findAttempt(stream string, attempt int) *streamAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[stream]
	if !ok || found.open.Attempt != attempt {
		return nil
	}
	return found
}

// serveProbe responds with the progress of a stream at this stage.
func (s *Server) serveProbe(w http.ResponseWriter, r *http.Request) {
	var query engine.StreamQuery
	if !decode(w, r, &query) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var progress engine.Progress
	if found, ok := s.streams[query.Stream]; ok {
		progress = found.progress
	}
	if cache, ok := s.caches[query.Stream]; ok {
		progress.CachedTokens = cache.CachedTokens
	}
	writeResult(w, progress)
}

// serveCancel ends the attempts of a stream up to the given one and removes its KV cache.
func (s *Server) serveCancel(w http.ResponseWriter, r *http.Request) {
	var cancel engine.Cancel
	if !decode(w, r, &cancel) {
		return
	}
	s.endStream(cancel.Stream, cancel.Attempt)
	s.mu.Lock()
	delete(s.caches, cancel.Stream)
	s.mu.Unlock()
	writeResult(w, struct{}{})
}

// endStream ends the attempts of a stream up to the given one. The KV cache is kept for a later attempt.
func (s *Server) endStream(stream string, attempt int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if attempt > s.endedStreams[stream].attempt {
		s.endedStreams[stream] = streamEnd{attempt, time.Now()}
	}
	if found, ok := s.streams[stream]; ok && found.open.Attempt <= attempt {
		found.cancel()
		delete(s.streams, stream)
	}
}

// serveActivation accepts an activation from the previous stage, or an error for the last stage. It responds before the layers
// run.
func (s *Server) serveActivation(w http.ResponseWriter, r *http.Request) {
	var activation engine.Activation
	if !decode(w, r, &activation) {
		return
	}
	attempt := s.findAttempt(activation.Stream, activation.Attempt)
	if attempt == nil || attempt.open.Index != activation.Index {
		writeRefusal(w, "no such stream")
		return
	}
	writeResult(w, struct{}{})
	if activation.Error != "" {
		attempt.deliver(activation)
		return
	}
	s.mu.Lock()
	attempt.progress.Received = activation.Position + 1
	s.mu.Unlock()
	go s.runLayers(attempt, activation)
}

// deliver passes a token or an error to the run at the last stage.
func (a *streamAttempt) deliver(activation engine.Activation) {
	select {
	case a.results <- activation:
	case <-a.ctx.Done():
	}
}

// runLayers prefills missing tokens, runs the layers on the activation and forwards it, or delivers it at the last stage.
func (s *Server) runLayers(attempt *streamAttempt, activation engine.Activation) {
	select {
	case <-attempt.imported:
	case <-attempt.ctx.Done():
		return
	}
	if s.prefill(attempt, activation) != nil || s.batcher.run(attempt.ctx, attempt.open.Priority, 0) != nil {
		return
	}
	s.waitWhileFrozen(attempt.ctx)
	if attempt.ctx.Err() != nil {
		return
	}
	s.recordActivation(activation)
	stage := attempt.open.Stages[attempt.open.Index]
	last := stage.Last
	if s.currentFaults().SkipLayer {
		last--
	}
	activation.State = fakemodel.Apply(activation.State, stage.First, last)
	activation.Receipts = append(activation.Receipts, s.newReceipt(attempt))
	s.mu.Lock()
	attempt.progress.Forwarded = activation.Position + 1
	s.mu.Unlock()
	if attempt.open.Index == len(attempt.open.Stages)-1 {
		attempt.deliver(activation)
		return
	}
	sleep(attempt.ctx, s.config.LinkLatency)
	s.forward(attempt, activation)
}

// forward sends the activation to the next stage. If that fails, it sends the error to the last stage.
func (s *Server) forward(attempt *streamAttempt, activation engine.Activation) {
	activation.Index++
	stages := attempt.open.Stages
	err := s.send(attempt, stages[activation.Index].Address, activation)
	if err == nil || attempt.ctx.Err() != nil {
		return
	}
	activation.Index, activation.Error = len(stages)-1, err.Error()
	_ = s.send(attempt, stages[activation.Index].Address, activation)
}

// newReceipt returns the receipt for the layers that this stage runs for the stream.
func (s *Server) newReceipt(attempt *streamAttempt) engine.Receipt {
	stage := attempt.open.Stages[attempt.open.Index]
	s.mu.Lock()
	defer s.mu.Unlock()
	return engine.Receipt{
		Server: s.config.Name, First: stage.First, Last: stage.Last,
		Version: s.current.Version, Queue: len(s.streams),
	}
}

// send sends an activation to a stage. It uses a new connection for attempts after the first one.
func (s *Server) send(attempt *streamAttempt, address string, activation engine.Activation) error {
	body, err := json.Marshal(activation)
	if err != nil {
		return err
	}
	url := "http://" + address + engine.PathActivation
	request, err := http.NewRequestWithContext(attempt.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return err
	}
	client := s.client
	if activation.Attempt > 1 {
		client = s.unpooledClient
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

// beginRun marks the attempt as running and returns it. It returns nil if the attempt isn't open, this isn't the last stage or the
// attempt is already running.
func (s *Server) beginRun(run engine.Run) *streamAttempt {
	s.mu.Lock()
	defer s.mu.Unlock()
	found, ok := s.streams[run.Stream]
	if !ok || found.open.Attempt != run.Attempt || found.open.Index != len(found.open.Stages)-1 || found.running {
		return nil
	}
	found.running = true
	return found
}

// serveRun runs an attempt at the last stage and streams the tokens of the answer.
func (s *Server) serveRun(w http.ResponseWriter, r *http.Request) {
	var run engine.Run
	if !decode(w, r, &run) {
		return
	}
	attempt := s.beginRun(run)
	if attempt == nil {
		writeRefusal(w, "no such stream")
		return
	}
	defer s.endStream(run.Stream, run.Attempt)
	stop := context.AfterFunc(r.Context(), attempt.cancel)
	defer stop()
	out := &frameWriter{w: w, server: s, attempt: attempt, digest: engine.NewDigest(run.Stream).AddAll(run.Resume)}
	_ = http.NewResponseController(w).Flush()
	tokens := append([]string(nil), run.Resume...)
	limit := fakemodel.StopAfter(run.Prompt, run.MaxTokens)
	for len(tokens) < limit {
		if truncate := s.currentFaults().TruncateAfter; truncate > 0 && len(tokens) >= truncate {
			return
		}
		token, err := s.nextToken(attempt, run, tokens, out)
		if err != nil {
			out.send(engine.Frame{Position: len(tokens), Error: err.Error()})
			return
		}
		tokens = append(tokens, token)
	}
	end := engine.Frame{Position: len(tokens), End: true, Finish: engine.FinishLength, Receipts: []engine.Receipt{s.newReceipt(attempt)}}
	if limit < run.MaxTokens {
		end.Finish = engine.FinishStop
	}
	out.send(end)
}

// inputActivation returns the input of the first layer for the token that follows tokens.
func inputActivation(run engine.Run, tokens []string) engine.Activation {
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

// nextToken runs the chain for one token and sends the token to the caller of the run, with keep-alive frames meanwhile.
func (s *Server) nextToken(attempt *streamAttempt, run engine.Run, tokens []string, out *frameWriter) (token string, err error) {
	failed := make(chan error, 1)
	go func() {
		if err := s.send(attempt, attempt.open.Stages[0].Address, inputActivation(run, tokens)); err != nil {
			failed <- err
		}
	}()
	ticker := time.NewTicker(engine.KeepAliveInterval)
	defer ticker.Stop()
	for {
		select {
		case activation := <-attempt.results:
			if activation.Error != "" {
				return "", errors.New(activation.Error)
			}
			if activation.Position != len(tokens) {
				continue
			}
			token = fakemodel.Token(activation.State)
			s.waitWhileFrozen(attempt.ctx)
			out.send(engine.Frame{Position: activation.Position, Token: token, Receipts: activation.Receipts})
			return token, nil
		case err = <-failed:
			return "", err
		case <-ticker.C:
			s.waitWhileFrozen(attempt.ctx)
			out.send(engine.Frame{Position: len(tokens), Alive: true})
		case <-attempt.ctx.Done():
			if s.currentFaults().Crash {
				panic(http.ErrAbortHandler)
			}
			return "", attempt.ctx.Err()
		}
	}
}

// frameWriter writes the frames of one attempt.
type frameWriter struct {
	w                http.ResponseWriter
	server           *Server
	attempt          *streamAttempt
	digest           engine.Digest
	lastReceiptsHash engine.ReceiptsHash
}

// send adds the stream's fields to a frame, removes receipts that equal those of the previous token, applies the faults and
// writes the frame.
func (f *frameWriter) send(frame engine.Frame) {
	frame.Stream, frame.Attempt = f.attempt.open.Stream, f.attempt.open.Attempt
	if frame.Token != "" {
		f.digest = f.digest.Add(frame.Token)
		if frame.Trace = engine.HashReceipts(frame.Receipts); frame.Trace == f.lastReceiptsHash {
			frame.Receipts = nil
		}
		f.lastReceiptsHash = frame.Trace
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
