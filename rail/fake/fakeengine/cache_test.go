package fakeengine

import (
	"net/http/httptest"
	"slices"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/fake/fakemodel"
)

// fillAnswer runs the first tokens of a stream through the cache, without the batch.
func fillAnswer(s *Server, stream *state, run engine.Run, tokens []string) {
	for position := range tokens {
		activation := first(run, tokens[:position])
		s.missing(stream, activation)
		s.fill(activation)
	}
}

func TestMissing(t *testing.T) {
	tokens := fakemodel.Completion("prompt of four", 2, 6)
	prompt := engine.PromptTokens("prompt of four")
	tests := []struct {
		name   string
		resume []string
		before func(s *Server)
		want   int
	}{
		{"resume where the cache ends", tokens[:5], func(*Server) {}, 0},
		{"resume before the end of the cache", tokens[:3], func(*Server) {}, 0},
		{"resume far after the end", tokens[:6], func(*Server) {}, prompt + 5},
		{"another history", []string{"x", "y"}, func(*Server) {}, prompt + 1},
		{"restart", tokens[:5], func(s *Server) { s.SetFaults(Faults{Crash: true}) }, prompt + 4},
		{"another version", tokens[:5], func(s *Server) { s.held.Version = "v2" }, prompt + 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := New(Config{Last: 2, Version: "v1"})
			defer s.Close()
			run := engine.Run{Stream: "s", Attempt: 1, Prompt: "prompt of four", MaxTokens: 9}
			stream := &state{open: engine.Open{Stream: "s", Attempt: 1, Hops: []engine.Hop{{Last: 2}}}}
			fillAnswer(s, stream, run, tokens[:5])
			test.before(s)
			if got := s.missing(stream, first(run, test.resume)); got != test.want {
				t.Errorf("got %d missing tokens, want %d", got, test.want)
			}
		})
	}
}

func TestPrefixEvents(t *testing.T) {
	now := time.Unix(1000, 0)
	cache := prefixes{limit: 2, gap: 3, lag: time.Second}
	for prefix := range uint64(4) {
		cache.add(prefix+1, now)
	}
	if got := cache.published(now); len(got) != 0 {
		t.Errorf("got events %v before the lag, want none", got)
	}
	want := []engine.CacheEvent{{Sequence: 1, Prefix: 1}, {Sequence: 2, Prefix: 2}, {Sequence: 4, Prefix: 3}, {Sequence: 5, Prefix: 2, Evicted: true}}
	if got := cache.published(now.Add(time.Second)); !slices.Equal(got, want) {
		t.Errorf("got events %v, want %v", got, want)
	}
	if got := []bool{cache.hit(1), cache.hit(2), cache.hit(3), cache.hit(4)}; !slices.Equal(got, []bool{false, false, true, true}) {
		t.Errorf("got hits %v, want the last two prefixes", got)
	}
}

func TestChainReplaysOnlyWhatIsMissing(t *testing.T) {
	const prompt, stream = "a prompt of some length", "s"
	servers, hops := make([]*Server, 3), make([]engine.Hop, 3)
	for i := range servers {
		servers[i] = New(Config{Name: string(rune('a' + i)), First: i, Last: i + 1, Version: "v1"})
		listener := httptest.NewServer(servers[i])
		t.Cleanup(listener.Close)
		t.Cleanup(servers[i].Close)
		hops[i] = engine.Hop{Server: servers[i].config.Name, Address: listener.Listener.Addr().String(), First: i, Last: i + 1}
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
		for index, hop := range hops {
			post(t, hop.Address, engine.PathOpen, engine.Open{Stream: stream, Attempt: i + 1, Index: index, Hops: hops, Version: "v1"})
		}
		post(t, hops[2].Address, engine.PathRun, engine.Run{Stream: stream, Attempt: i + 1, Prompt: prompt, Resume: answer[:run.resume], MaxTokens: 6})
		for index, s := range servers {
			if got := s.Prefilled(); got != run.want[index] {
				t.Errorf("run %d: got %d tokens replayed at stage %d, want %d", i, got, index, run.want[index])
			}
		}
	}
}
