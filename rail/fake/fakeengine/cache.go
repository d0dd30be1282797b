package fakeengine

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
)

// kv is the KV cache of one stream at this stage; it outlives attempts.
type kv struct {
	engine.KV
	prompt bool
	used   time.Time
}

// valid reports whether the cache belongs to the tokens before the activation and to the range and version.
func (c *kv) valid(activation engine.Activation, version string, hop engine.Hop) bool {
	if c.Version != version || c.First != hop.First || c.Last != hop.Last {
		return false
	}
	run, position := len(c.Contexts), activation.Position
	if position < run {
		return c.Contexts[position] == activation.Context
	}
	return position == run && position > 0 && c.Contexts[position-1] == activation.Previous
}

// missing returns how many tokens must be replayed before the activation can be run, and drops what is not valid.
func (s *Server) missing(stream *state, activation engine.Activation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	hop := stream.open.Hops[stream.open.Index]
	held, ok := s.caches[activation.Stream]
	if !ok || !held.valid(activation, s.held.Version, hop) {
		held = &kv{KV: engine.KV{Version: s.held.Version, First: hop.First, Last: hop.Last}}
		s.caches[activation.Stream] = held
		if s.prefixes.hit(activation.Prefix) {
			held.CachedTokens = engine.PrefixTokens
		}
	}
	held.used = time.Now()
	return max(0, activation.Length-held.CachedTokens-1)
}

// grow notes that tokens of the stream have been replayed.
func (s *Server) grow(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.replayed += tokens
	if held, ok := s.caches[id]; ok {
		held.CachedTokens += tokens
	}
}

// fill notes that the activation has been run.
func (s *Server) fill(activation engine.Activation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.caches[activation.Stream]
	if !ok {
		return
	}
	for len(held.Contexts) < activation.Position {
		held.Contexts = append(held.Contexts, 0)
	}
	held.Contexts = append(held.Contexts[:activation.Position], activation.Context)
	held.CachedTokens = activation.Length
	if !held.prompt {
		held.prompt = true
		s.prefixes.add(activation.Prefix, time.Now())
	}
}

// prefillChunk is the number of tokens that are replayed in one step.
const prefillChunk = 64

// prefill replays the missing tokens in chunks, so that other streams go on meanwhile.
func (s *Server) prefill(stream *state, activation engine.Activation) error {
	missing := s.missing(stream, activation)
	hop := stream.open.Hops[stream.open.Index]
	for missing > 0 {
		chunk := min(missing, prefillChunk)
		took := time.Duration(chunk*(hop.Last-hop.First)) * s.config.PrefillTime
		if err := s.batch.run(stream.ctx, stream.open.Priority, took); err != nil {
			return err
		}
		s.grow(activation.Stream, chunk)
		missing -= chunk
	}
	return nil
}

// keepUnused is how long the KV cache and the end of a stream are kept without use.
const keepUnused = 30 * time.Second

// sweep forgets streams that have not been used for long; the caller holds the lock.
func (s *Server) sweep(now time.Time) {
	for id, held := range s.caches {
		if _, open := s.streams[id]; !open && now.Sub(held.used) > keepUnused {
			delete(s.caches, id)
		}
	}
	for id, mark := range s.ended {
		if now.Sub(mark.at) > keepUnused {
			delete(s.ended, id)
		}
	}
}

// export answers with the KV cache of a stream.
func (s *Server) export(w http.ResponseWriter, r *http.Request) {
	var probe engine.StreamQuery
	if !decode(w, r, &probe) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	held, ok := s.caches[probe.Stream]
	if !ok {
		refuse(w, "no such stream")
		return
	}
	reply(w, held.KV)
}

// importKV fetches the KV cache of a stream from another engine; without it the tokens are replayed.
func (s *Server) importKV(stream *state) {
	defer close(stream.imported)
	if stream.open.Import == "" {
		return
	}
	exported, err := s.fetchKV(stream)
	if err != nil {
		return
	}
	wait(stream.ctx, time.Duration(exported.CachedTokens*(exported.Last-exported.First))*s.config.ImportTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.caches[stream.open.Stream]; !ok {
		s.caches[stream.open.Stream] = &kv{KV: exported, prompt: true, used: time.Now()}
	}
}

func (s *Server) fetchKV(stream *state) (exported engine.KV, err error) {
	body, err := json.Marshal(engine.StreamQuery{Stream: stream.open.Stream})
	if err != nil {
		return engine.KV{}, err
	}
	url := "http://" + stream.open.Import + engine.PathExport
	request, err := http.NewRequestWithContext(stream.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return engine.KV{}, err
	}
	response, err := s.fresh.Do(request)
	if err != nil {
		return engine.KV{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return engine.KV{}, fmt.Errorf("export answered with status code %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&exported)
	return exported, err
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// maxEvents is the number of cache events in one report.
const maxEvents = 32

// prefixes is the cache of prompt prefixes, the least recently used first, with its events.
type prefixes struct {
	limit    int
	gap      uint64
	lag      time.Duration
	order    []uint64
	sequence uint64
	events   []dated
}

// dated is an event with the time at which it is published.
type dated struct {
	engine.CacheEvent
	due time.Time
}

// hit reports whether the prefix is cached and makes it the most recently used.
func (p *prefixes) hit(prefix uint64) bool {
	for i, cached := range p.order {
		if prefix != 0 && cached == prefix {
			p.order = append(append(p.order[:i:i], p.order[i+1:]...), prefix)
			return true
		}
	}
	return false
}

func (p *prefixes) add(prefix uint64, now time.Time) {
	if prefix == 0 || p.limit == 0 || p.hit(prefix) {
		return
	}
	if len(p.order) == p.limit {
		p.note(engine.CacheEvent{Prefix: p.order[0], Evicted: true}, now)
		p.order = p.order[1:]
	}
	p.order = append(p.order, prefix)
	p.note(engine.CacheEvent{Prefix: prefix}, now)
}

// note queues an event, and loses each one whose number is a multiple of the gap.
func (p *prefixes) note(event engine.CacheEvent, now time.Time) {
	p.sequence++
	event.Sequence = p.sequence
	if p.gap > 0 && p.sequence%p.gap == 0 {
		return
	}
	p.events = append(p.events, dated{event, now.Add(p.lag)})
	if len(p.events) > 2*maxEvents {
		p.events = append([]dated(nil), p.events[len(p.events)-maxEvents:]...)
	}
}

// published returns the latest events whose time has come.
func (p *prefixes) published(now time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, event := range p.events {
		if !now.Before(event.due) {
			events = append(events, event.CacheEvent)
		}
	}
	return events[max(0, len(events)-maxEvents):]
}
