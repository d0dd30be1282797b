package load

import (
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"time"
)

// RequestKind is the kind of a request.
type RequestKind string

const (
	// Stream is a streamed completion.
	Stream RequestKind = "stream"
	// Plain is a plain call that must not run twice.
	Plain RequestKind = "plain"
)

// Arrival describes one request of the schedule.
type Arrival struct {
	// Index is the position of the request among all arrivals, from zero.
	Index int
	// Offset is the time from the start of the run to the arrival.
	Offset time.Duration
	// Kind is the kind of the request. Prompt and Tokens are set only for Stream, CallID and Keyed only for Plain.
	Kind RequestKind
	// Workspace is the name of the caller's workspace.
	Workspace string
	// Prompt is the prompt of a completion; it begins with one of the shared prefixes of the workspace.
	Prompt string
	// Tokens is the number of tokens of the answer to a completion, sent as max_tokens.
	Tokens int
	// CallID identifies a plain call; it is unique among all runs.
	CallID string
	// Keyed reports whether the plain call carries an idempotency key.
	Keyed bool
}

// prefixWords is the number of words in a shared prompt prefix.
const prefixWords = 16

// schedule generates the arrivals of one run as a Poisson process.
type schedule struct {
	config Config
	random *rand.Rand
	// cumulativeShares holds for each workspace the sum of its share of the requests and the shares of all before it.
	cumulativeShares []float64
	runID            string
	// offset is the offset of the last arrival.
	offset    time.Duration
	nextIndex int
}

// newSchedule returns a schedule whose call ids begin with the run id.
func newSchedule(config Config, runID string) *schedule {
	s := &schedule{config: config, random: rand.New(rand.NewPCG(config.Seed, 0)), runID: runID}
	sum := 0.0
	for n := range config.Workspaces {
		sum += math.Pow(float64(n+1), -config.Skew)
		s.cumulativeShares = append(s.cumulativeShares, sum)
	}
	for n := range s.cumulativeShares {
		s.cumulativeShares[n] /= sum
	}
	return s
}

// next returns the next arrival, or false if it would be after the end of the run.
func (s *schedule) next() (arrival Arrival, ok bool) {
	s.offset += time.Duration(s.random.ExpFloat64() / s.config.Rate * float64(time.Second))
	if s.offset >= s.config.Duration {
		return Arrival{}, false
	}
	workspace := s.drawWorkspace()
	arrival = Arrival{Index: s.nextIndex, Offset: s.offset, Workspace: fmt.Sprintf("workspace%d", workspace+1)}
	s.nextIndex++
	if s.random.Float64() < s.config.PlainShare {
		arrival.Kind = Plain
		arrival.CallID = fmt.Sprintf("%s-%d", s.runID, arrival.Index)
		arrival.Keyed = s.random.Float64() < s.config.KeyedShare
		return arrival, true
	}
	arrival.Kind = Stream
	arrival.Tokens = max(1, s.config.MeanTokens/2+s.random.IntN(s.config.MeanTokens+1))
	prefix := fmt.Sprintf("workspace%d-prefix%d ", workspace+1, s.random.IntN(s.config.Prefixes))
	arrival.Prompt = strings.Repeat(prefix, prefixWords) + fmt.Sprintf("request %d of %s", arrival.Index, s.runID)
	return arrival, true
}

// drawWorkspace returns the index of a random workspace, drawn in proportion to the shares.
func (s *schedule) drawWorkspace() int {
	draw := s.random.Float64()
	for n, share := range s.cumulativeShares {
		if draw < share {
			return n
		}
	}
	return len(s.cumulativeShares) - 1
}
