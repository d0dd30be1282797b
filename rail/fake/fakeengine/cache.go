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

// kvCache is the KV cache of one stream at this stage. It is kept from one attempt of the stream to the next.
type kvCache struct {
	engine.KVCache
	// skipPrefix reports whether the prompt's prefix must not be added to the prefix cache: it already was, or the KV cache was
	// imported.
	skipPrefix bool
	lastUsed   time.Time
}

// valid reports whether the cache was filled with the tokens before the activation, for the layers of the stage and the version
// of the model.
func (c *kvCache) valid(activation engine.Activation, version string, stage engine.Stage) bool {
	if c.Version != version || c.First != stage.First || c.Last != stage.Last {
		return false
	}
	cached, position := len(c.Contexts), activation.Position
	if position < cached {
		return c.Contexts[position] == activation.Context
	}
	return position == cached && position > 0 && c.Contexts[position-1] == activation.Previous
}

// prepareCache returns the number of tokens that must be prefilled before the activation can run. It first replaces a cache that
// isn't valid by an empty one, or by one that holds the cached prefix of the prompt.
func (s *Server) prepareCache(attempt *streamAttempt, activation engine.Activation) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	stage := attempt.open.Stages[attempt.open.Index]
	cache, ok := s.caches[activation.Stream]
	if !ok || !cache.valid(activation, s.current.Version, stage) {
		cache = &kvCache{KVCache: engine.KVCache{Version: s.current.Version, First: stage.First, Last: stage.Last}}
		s.caches[activation.Stream] = cache
		if s.prefixes.lookUp(activation.Prefix) {
			cache.CachedTokens = engine.PrefixTokens
		}
	}
	cache.lastUsed = time.Now()
	// The activation itself computes the last of the Length tokens.
	return max(0, activation.Length-cache.CachedTokens-1)
}

// addPrefilled adds prefilled tokens to the cache of the stream.
func (s *Server) addPrefilled(id string, tokens int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.prefilled += tokens
	if cache, ok := s.caches[id]; ok {
		cache.CachedTokens += tokens
	}
}

// recordActivation adds an activation that has run to the cache of its stream. After the first activation it also adds the prefix
// of the prompt to the prefix cache, unless the cache of the stream was imported.
func (s *Server) recordActivation(activation engine.Activation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	cache, ok := s.caches[activation.Stream]
	if !ok {
		return
	}
	// The contexts of resumed tokens are not known.
	for len(cache.Contexts) < activation.Position {
		cache.Contexts = append(cache.Contexts, 0)
	}
	cache.Contexts = append(cache.Contexts[:activation.Position], activation.Context)
	cache.CachedTokens = activation.Length
	if !cache.skipPrefix {
		cache.skipPrefix = true
		s.prefixes.add(activation.Prefix, time.Now())
	}
}

// prefillChunk is the maximum number of tokens of a stream that are prefilled in one step.
const prefillChunk = 64

// prefill prefills the tokens that are missing from the cache in chunks, so that other streams run between the chunks.
func (s *Server) prefill(attempt *streamAttempt, activation engine.Activation) error {
	remaining := s.prepareCache(attempt, activation)
	stage := attempt.open.Stages[attempt.open.Index]
	for remaining > 0 {
		chunk := min(remaining, prefillChunk)
		duration := time.Duration(chunk*(stage.Last-stage.First)) * s.config.PrefillTime
		if err := s.batcher.run(attempt.ctx, attempt.open.Priority, duration); err != nil {
			return err
		}
		s.addPrefilled(activation.Stream, chunk)
		remaining -= chunk
	}
	return nil
}

// unusedRetention is how long the KV cache of a stream is kept after its last use, and its tombstone after the end.
const unusedRetention = 30 * time.Second

// evictUnused removes the tombstones, and the caches of streams that aren't open, after unusedRetention. s.mu must be held.
func (s *Server) evictUnused(now time.Time) {
	for id, cache := range s.caches {
		if _, open := s.streams[id]; !open && now.Sub(cache.lastUsed) > unusedRetention {
			delete(s.caches, id)
		}
	}
	for id, end := range s.endedStreams {
		if now.Sub(end.endedAt) > unusedRetention {
			delete(s.endedStreams, id)
		}
	}
}

// serveExport responds with the KV cache of a stream.
func (s *Server) serveExport(w http.ResponseWriter, r *http.Request) {
	var query engine.StreamQuery
	if !decode(w, r, &query) {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	cache, ok := s.caches[query.Stream]
	if !ok {
		writeRefusal(w, "no such stream")
		return
	}
	writeResult(w, cache.KVCache)
}

// importKV fetches the KV cache of a stream from the engine that the attempt names. If that fails, the tokens are
// prefilled.
func (s *Server) importKV(attempt *streamAttempt) {
	defer close(attempt.imported)
	if attempt.open.Import == "" {
		return
	}
	exported, err := s.fetchKV(attempt)
	if err != nil {
		return
	}
	sleep(attempt.ctx, time.Duration(exported.CachedTokens*(exported.Last-exported.First))*s.config.ImportTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.caches[attempt.open.Stream]; !ok {
		s.caches[attempt.open.Stream] = &kvCache{KVCache: exported, skipPrefix: true, lastUsed: time.Now()}
	}
}

func (s *Server) fetchKV(attempt *streamAttempt) (exported engine.KVCache, err error) {
	body, err := json.Marshal(engine.StreamQuery{Stream: attempt.open.Stream})
	if err != nil {
		return engine.KVCache{}, err
	}
	url := "http://" + attempt.open.Import + engine.PathExport
	request, err := http.NewRequestWithContext(attempt.ctx, http.MethodPost, url, bytes.NewReader(body))
	if err != nil {
		return engine.KVCache{}, err
	}
	response, err := s.unpooledClient.Do(request)
	if err != nil {
		return engine.KVCache{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return engine.KVCache{}, fmt.Errorf("export responded with status code %d", response.StatusCode)
	}
	err = json.NewDecoder(response.Body).Decode(&exported)
	return exported, err
}

// sleep waits until d has passed or the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// maxCacheEvents is the maximum number of cache events in one status report.
const maxCacheEvents = 32

// prefixCache is a cache of prompt prefixes in order of use, the least recently used one first, with the events that it reports.
type prefixCache struct {
	limit        int
	dropEveryNth uint64
	eventLag     time.Duration
	hashes       []uint64 // of the cached prefixes
	sequence     uint64   // of the last event
	events       []pendingEvent
}

// pendingEvent is an event and the time from which it is published.
type pendingEvent struct {
	engine.CacheEvent
	publishAt time.Time
}

// lookUp reports whether the prefix is cached, and makes it the most recently used one.
func (p *prefixCache) lookUp(prefix uint64) bool {
	for i, cached := range p.hashes {
		if prefix != 0 && cached == prefix {
			p.hashes = append(append(p.hashes[:i:i], p.hashes[i+1:]...), prefix)
			return true
		}
	}
	return false
}

// add adds a prefix and evicts the least recently used one if the cache is full. Zero stands for no prefix.
func (p *prefixCache) add(prefix uint64, now time.Time) {
	if prefix == 0 || p.limit == 0 || p.lookUp(prefix) {
		return
	}
	if len(p.hashes) == p.limit {
		p.addEvent(engine.CacheEvent{Prefix: p.hashes[0], Evicted: true}, now)
		p.hashes = p.hashes[1:]
	}
	p.hashes = append(p.hashes, prefix)
	p.addEvent(engine.CacheEvent{Prefix: prefix}, now)
}

// addEvent queues an event and removes the oldest events if there are too many, also those not yet published. It drops the event
// if its sequence number is a multiple of dropEveryNth, unless that is zero.
func (p *prefixCache) addEvent(event engine.CacheEvent, now time.Time) {
	p.sequence++
	event.Sequence = p.sequence
	if p.dropEveryNth > 0 && p.sequence%p.dropEveryNth == 0 {
		return
	}
	p.events = append(p.events, pendingEvent{event, now.Add(p.eventLag)})
	if len(p.events) > 2*maxCacheEvents {
		p.events = append([]pendingEvent(nil), p.events[len(p.events)-maxCacheEvents:]...)
	}
}

// published returns the newest events whose publication time has passed, at most maxCacheEvents.
func (p *prefixCache) published(now time.Time) []engine.CacheEvent {
	var events []engine.CacheEvent
	for _, event := range p.events {
		if !now.Before(event.publishAt) {
			events = append(events, event.CacheEvent)
		}
	}
	return events[max(0, len(events)-maxCacheEvents):]
}
