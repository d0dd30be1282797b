package headroom

import (
	"math"
	"time"
)

// Config configures a Ledger.
type Config struct {
	// MaxFill is the part of an engine's memory that may be filled.
	MaxFill float64
	// ReserveStep is the part of an engine's memory that is kept for requests of a kind with each one that was refused.
	ReserveStep float64
	// MaxReserve bounds the part of an engine's memory that is kept for requests of a kind.
	MaxReserve float64
	// DecayTime is the time after which a refusal counts by 1/e.
	DecayTime time.Duration
}

// crowding is how many times its share a workspace holds before it counts as large.
const crowding = 1.5

// Class is who a request's memory belongs to.
type Class struct {
	// Workspace is the workspace, empty for none.
	Workspace string
	// Priority is the rank of the request, 0 first.
	Priority int
}

// reserve is the memory that is kept for requests of a kind, as some were refused.
type reserve struct {
	size float64
	at   time.Time
}

func (r reserve) kept(now time.Time, memory time.Duration) float64 {
	return r.size * math.Exp(-now.Sub(r.at).Seconds()/memory.Seconds())
}

// Ledger counts the memory that workspaces hold; it is not safe for concurrent use.
type Ledger struct {
	config Config
	held   map[string]float64 // tokens by workspace
	total  float64
	small  map[int]reserve // by priority, for workspaces within their share
	urgent map[int]reserve // by priority, for all
}

// New returns a Ledger in which nobody holds anything.
func New(config Config) *Ledger {
	return &Ledger{config: config, held: make(map[string]float64), small: make(map[int]reserve), urgent: make(map[int]reserve)}
}

// Started counts the tokens of a request.
func (l *Ledger) Started(holder Class, tokens float64) {
	l.held[holder.Workspace] += tokens
	l.total += tokens
}

// Ended gives back what Started took.
func (l *Ledger) Ended(holder Class, tokens float64) {
	l.total = max(l.total-tokens, 0)
	if l.held[holder.Workspace] -= tokens; l.held[holder.Workspace] <= 0 {
		delete(l.held, holder.Workspace)
	}
}

// Refused notes that there was no memory for a request.
func (l *Ledger) Refused(now time.Time, holder Class) {
	l.urgent[holder.Priority] = l.grown(now, l.urgent[holder.Priority])
	if !l.large(holder.Workspace) {
		l.small[holder.Priority] = l.grown(now, l.small[holder.Priority])
	}
}

// grown returns a reserve after one more refusal.
func (l *Ledger) grown(now time.Time, r reserve) reserve {
	return reserve{size: min(r.kept(now, l.config.DecayTime)+l.config.ReserveStep, l.config.MaxReserve), at: now}
}

// Limit returns the part of an engine's memory up to which a request may fill it.
func (l *Ledger) Limit(now time.Time, holder Class) float64 {
	kept, large := 0.0, l.large(holder.Workspace)
	for priority, r := range l.urgent {
		if priority < holder.Priority {
			kept = max(kept, r.kept(now, l.config.DecayTime))
		}
	}
	for priority, r := range l.small {
		if large && priority <= holder.Priority {
			kept = max(kept, r.kept(now, l.config.DecayTime))
		}
	}
	return l.config.MaxFill - kept
}

// large reports whether a workspace holds much more than its share of what the workspaces hold together.
func (l *Ledger) large(workspace string) bool {
	held := l.held[workspace]
	return len(l.held) > 1 && held*float64(len(l.held)) > crowding*l.total
}
