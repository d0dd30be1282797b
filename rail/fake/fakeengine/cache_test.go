package fakeengine

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
)

// fillCache adds the tokens of a stream to the cache without running them in the batch.
func fillCache(s *Server, stream *streamAttempt, run engine.Run, tokens []string) {
	for position := range tokens {
		activation := firstActivation(run, tokens[:position])
		s.missingTokens(stream, activation)
		s.recordActivation(activation)
	}
}

func TestMissingTokens(t *testing.T) {
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
			stream := &streamAttempt{open: engine.Open{Stream: "s", Attempt: 1, Stages: []engine.Stage{{Last: 2}}}}
			fillCache(s, stream, run, tokens[:5])
			test.before(s)
			if got := s.missingTokens(stream, firstActivation(run, test.resume)); got != test.want {
				t.Errorf("got %d missing tokens, want %d", got, test.want)
			}
		})
	}
}

func TestPrefixEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	cache := prefixCache{limit: 2, lossInterval: 3, eventDelay: time.Second}
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
	if got := []bool{cache.touch(1), cache.touch(2), cache.touch(3), cache.touch(4)}; !slices.Equal(got, []bool{false, false, true, true}) {
		t.Errorf("got hits %v, want the last two prefixes", got)
	}
}

// An engine must replay only the tokens that are missing from its KV cache: the prompt at first, nothing at a later attempt, and
// the prompt and the resumed tokens after a crash has cleared the cache.
func TestReplayAfterCrash(t *testing.T) {
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
		lost   int
		want   []int
	}{
		{0, -1, []int{5, 5, 5}},
		{4, -1, []int{5, 5, 5}},
		{4, 1, []int{5, 14, 5}},
	}
	answer := fakemodel.Completion(prompt, 3, 6)
	for i, run := range runs {
		if run.lost >= 0 {
			servers[run.lost].SetFaults(Faults{Crash: true})
			servers[run.lost].SetFaults(Faults{})
		}
		for index, stage := range stages {
			post(t, stage.Address, engine.PathOpen, engine.Open{Stream: stream, Attempt: i + 1, Index: index, Stages: stages, Version: "v1"})
		}
		post(t, stages[2].Address, engine.PathRun, engine.Run{Stream: stream, Attempt: i + 1, Prompt: prompt, Resume: answer[:run.resume], MaxTokens: 6})
		for index, s := range servers {
			if got := s.Prefilled(); got != run.want[index] {
				t.Errorf("run %d: got %d tokens replayed at stage %d, want %d", i, got, index, run.want[index])
			}
		}
	}
}
