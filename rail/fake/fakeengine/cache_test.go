package fakeengine

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
)

// fillCache adds the tokens of a stream to the cache without running them in the batcher.
func fillCache(s *Server, attempt *streamAttempt, run engine.Run, tokens []string) {
	for position := range tokens {
		activation := inputActivation(run, tokens[:position])
		s.prepareCache(attempt, activation)
		s.recordActivation(activation)
	}
}

// TestPrepareCache guards against reusing a KV cache of another answer or another version, and against prefilling cached tokens.
func TestPrepareCache(t *testing.T) {
	tokens := fakemodel.Completion("prompt of four", 2, 6)
	prompt := engine.PromptTokens("prompt of four")
	tests := []struct {
		name   string
		resume []string
		before func(s *Server)
		want   int
	}{
		{"resume at end of cache", tokens[:5], func(*Server) {}, 0},
		{"resume before end of cache", tokens[:3], func(*Server) {}, 0},
		{"resume beyond end of cache", tokens[:6], func(*Server) {}, prompt + 5},
		{"other history", []string{"x", "y"}, func(*Server) {}, prompt + 1},
		{"crash", tokens[:5], func(s *Server) { s.SetFaults(Faults{Crash: true}) }, prompt + 4},
		{"other version", tokens[:5], func(s *Server) { s.current.Version = "v2" }, prompt + 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Last: 2, Version: "v1"})
			defer s.Close()
			run := engine.Run{Stream: "s", Attempt: 1, Prompt: "prompt of four", MaxTokens: 9}
			attempt := &streamAttempt{open: engine.Open{Stream: "s", Attempt: 1, Stages: []engine.Stage{{Last: 2}}}}
			fillCache(s, attempt, run, tokens[:5])
			test.before(s)
			if got := s.prepareCache(attempt, inputActivation(run, test.resume)); got != test.want {
				t.Errorf("got %d tokens to prefill, want %d", got, test.want)
			}
		})
	}
}

// TestPrefixEvents guards against events that are published too early, in the wrong order or without the configured losses.
func TestPrefixEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	cache := prefixCache{limit: 2, dropEveryNth: 3, eventLag: time.Second}
	for prefix := range uint64(4) {
		cache.add(prefix+1, now)
	}
	if got := cache.published(now); len(got) != 0 {
		t.Errorf("got events %v before the delay, want none", got)
	}
	want := []engine.CacheEvent{{Sequence: 1, Prefix: 1}, {Sequence: 2, Prefix: 2}, {Sequence: 4, Prefix: 3}, {Sequence: 5, Prefix: 2, Evicted: true}}
	if got := cache.published(now.Add(time.Second)); !slices.Equal(got, want) {
		t.Errorf("got events %v, want %v", got, want)
	}
	if got := []bool{cache.lookUp(1), cache.lookUp(2), cache.lookUp(3), cache.lookUp(4)}; !slices.Equal(got, []bool{false, false, true, true}) {
		t.Errorf("got hits %v, want the last two prefixes", got)
	}
}

// TestPrefillAfterCrash guards against prefilling at a later attempt tokens that are in the KV cache, and against not prefilling
// the prompt at first, or the prompt and the resumed tokens after a crash has cleared the cache.
func TestPrefillAfterCrash(t *testing.T) {
	const prompt, stream = "a prompt of some length", "s"
	servers, stages := make([]*Server, 3), make([]engine.Stage, 3)
	for i := range servers {
		servers[i] = New(Config{Name: string(rune('a' + i)), First: i, Last: i + 1, Version: "v1"})
		listener := httptest.NewServer(servers[i])
		t.Cleanup(listener.Close)
		t.Cleanup(servers[i].Close)
		stages[i] = engine.Stage{Server: servers[i].config.Name, Address: listener.Listener.Addr().String(), First: i, Last: i + 1}
	}
	runs := []struct {
		resume int
		// crashed is the index of the stage that crashes before the run, or -1.
		crashed int
		// want is the total number of tokens prefilled at each stage up to the end of the run.
		want []int
	}{
		{0, -1, []int{5, 5, 5}},
		{4, -1, []int{5, 5, 5}},
		{4, 1, []int{5, 14, 5}},
	}
	answer := fakemodel.Completion(prompt, 3, 6)
	for i, run := range runs {
		if run.crashed >= 0 {
			servers[run.crashed].SetFaults(Faults{Crash: true})
			servers[run.crashed].SetFaults(Faults{})
		}
		for index, stage := range stages {
			post(t, stage.Address, engine.PathOpen, engine.Open{Stream: stream, Attempt: i + 1, Index: index, Stages: stages, Version: "v1"})
		}
		post(t, stages[2].Address, engine.PathRun, engine.Run{Stream: stream, Attempt: i + 1, Prompt: prompt, Resume: answer[:run.resume], MaxTokens: 6})
		for index, s := range servers {
			if got := s.Prefilled(); got != run.want[index] {
				t.Errorf("run %d: got %d tokens prefilled at stage %d, want %d", i, got, index, run.want[index])
			}
		}
	}
}
