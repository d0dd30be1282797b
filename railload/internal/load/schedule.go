package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// RequestKind tells the kinds of requests apart.
type RequestKind string

const (
	// Stream is a streamed completion.
	Stream RequestKind = "stream"
	// Plain is a plain call that may not be repeated.
	Plain RequestKind = "plain"
)

// Arrival is one request of the schedule.
type Arrival struct {
	// Index counts the arrivals from zero.
	Index int
	// Offset is the time of the arrival after the beginning of the run.
	Offset time.Duration
	// Kind is the kind of the request.
	Kind RequestKind
	// Workspace names the caller's workspace.
	Workspace string
	// Prompt is the prompt of a completion.
	Prompt string
	// Tokens is the number of tokens of the answer to a completion.
	Tokens int
	// CallID identifies a plain call in all runs.
	CallID string
	// Keyed tells that the plain call carries an idempotency key.
	Keyed bool
}

// prefixWords is the number of words of a shared prompt prefix.
const prefixWords = 16

// schedule draws the arrivals of one run.
type schedule struct {
	config Config
	random *rand.Rand
	shares []float64
	run    string
	at     time.Duration
	number int
}

// newSchedule returns a schedule whose call ids begin with run.
func newSchedule(config Config, run string) *schedule {
	s := &schedule{config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), run: run}
	sum := 0.0
	for n := range config.Workspaces {
		sum += math.Pow(float64(n+1), -config.Skew)
		s.shares = append(s.shares, sum)
	}
	for n := range s.shares {
		s.shares[n] /= sum
	}
	return s
}

// next returns the next arrival, and false after the last one.
func (s *schedule) next() (arrival Arrival, ok bool) {
	s.at += time.Duration(s.random.ExpFloat64() / s.config.Rate * float64(time.Second))
	if s.at >= s.config.Duration {
		return Arrival{}, false
	}
	workspace := s.workspace()
	arrival = Arrival{Index: s.number, Offset: s.at, Workspace: fmt.Sprintf("workspace%d", workspace+1)}
	s.number++
	if s.random.Float64() < s.config.PlainShare {
		arrival.Kind = Plain
		arrival.CallID = fmt.Sprintf("%s-%d", s.run, arrival.Index)
		arrival.Keyed = s.random.Float64() < s.config.KeyedShare
		return arrival, true
	}
	arrival.Kind = Stream
	arrival.Tokens = max(1, s.config.MeanTokens/2+s.random.IntN(s.config.MeanTokens+1))
	prefix := fmt.Sprintf("workspace%d-prefix%d ", workspace+1, s.random.IntN(s.config.Prefixes))
	arrival.Prompt = strings.Repeat(prefix, prefixWords) + fmt.Sprintf("request %d of %s", arrival.Index, s.run)
	return arrival, true
}

// workspace draws the index of a workspace by its share.
func (s *schedule) workspace() int {
	point := s.random.Float64()
	for n, share := range s.shares {
		if point < share {
			return n
		}
	}
	return len(s.shares) - 1
}
