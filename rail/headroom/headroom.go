package headroom

import (
	"math"
	"time"
)

// Config configures a Limiter.
type Config struct {
	// MaxFill is the fraction of an engine's KV memory that may be filled.
	MaxFill float64
	// ReserveStep is the fraction of an engine's KV memory that a refusal adds to each reserve that it increases.
	ReserveStep float64
	// MaxReserve is the largest fraction of an engine's KV memory in a reserve.
	MaxReserve float64
	// DecayTime is the time constant of the exponential decay of a reserve.
	DecayTime time.Duration
}

// largeFactor determines large workspaces: those that hold more than largeFactor times an equal share of the memory
// that all workspaces hold, and whose ratio to the others is more than largeFactor times as large as usual.
const largeFactor = 1.5

// Class is the workspace and the urgency of a request.
type Class struct {
	// Workspace is the name of the workspace, empty for none.
	Workspace string
	// Urgency is the urgency of the request; 0 is the most urgent.
	Urgency int
}

// reserve is memory reserved after refusals, as a fraction of an engine's KV memory; it decays from updatedAt.
type reserve struct {
	size      float64
	updatedAt time.Time
}

func (r reserve) remaining(now time.Time, decayTime time.Duration) float64 {
	return r.size * math.Exp(-now.Sub(r.updatedAt).Seconds()/decayTime.Seconds())
}

// Limiter limits how far requests may fill memory, by the memory that workspaces hold and the reserves; it is not safe
// for concurrent use.
type Limiter struct {
	config            Config
	held              map[string]float64 // tokens by workspace
	total             float64
	againstLarge      map[int]reserve // by the urgency of the refused requests, against large workspaces
	againstLessUrgent map[int]reserve // by the urgency of the refused requests, against less urgent ones
	usual             *usualShares
	backlog           backlog
}

// New returns a Limiter without held memory and reserves.
func New(config Config) *Limiter {
	return &Limiter{
		config: config, held: make(map[string]float64), againstLarge: make(map[int]reserve), againstLessUrgent: make(map[int]reserve), usual: newUsualShares(),
	}
}

// Started records the memory that a request holds, in tokens.
func (l *Limiter) Started(now time.Time, class Class, tokens float64) {
	l.usual.started(now, class.Workspace, tokens)
	l.backlog.decay(now)
	l.backlog.started++
	l.held[class.Workspace] += tokens
	l.total += tokens
}

// Ended releases the memory that Started recorded.
func (l *Limiter) Ended(class Class, tokens float64) {
	l.total = max(l.total-tokens, 0)
	if l.held[class.Workspace] -= tokens; l.held[class.Workspace] <= 0 {
		delete(l.held, class.Workspace)
	}
}

// Refused records that a request was refused for lack of memory, which increases the reserves.
func (l *Limiter) Refused(now time.Time, class Class) {
	l.usual.refused()
	l.backlog.decay(now)
	l.backlog.refused++
	l.againstLessUrgent[class.Urgency] = l.afterRefusal(now, l.againstLessUrgent[class.Urgency])
	if !l.isLarge(class.Workspace) {
		l.againstLarge[class.Urgency] = l.afterRefusal(now, l.againstLarge[class.Urgency])
	}
}

// Wait returns how long a refused request should wait before it is sent again, so that those that were refused lately don't all come
// back at a time when there is no room for them. It is zero if none was.
func (l *Limiter) Wait(now time.Time) time.Duration { return l.backlog.wait(now) }

// afterRefusal returns the reserve after another refusal.
func (l *Limiter) afterRefusal(now time.Time, r reserve) reserve {
	return reserve{size: min(r.remaining(now, l.config.DecayTime)+l.config.ReserveStep, l.config.MaxReserve), updatedAt: now}
}

// FillLimit returns the fraction of an engine's KV memory up to which a request may fill it: MaxFill less the largest
// reserve against the request.
func (l *Limiter) FillLimit(now time.Time, class Class) float64 {
	reserved, large := 0.0, l.isLarge(class.Workspace)
	for urgency, r := range l.againstLessUrgent {
		if urgency < class.Urgency {
			reserved = max(reserved, r.remaining(now, l.config.DecayTime))
		}
	}
	for urgency, r := range l.againstLarge {
		if large && urgency <= class.Urgency {
			reserved = max(reserved, r.remaining(now, l.config.DecayTime))
		}
	}
	return l.config.MaxFill - reserved
}

// isLarge reports whether the workspace holds more than largeFactor times its equal share of the memory that all workspaces
// hold, and more than usual in relation to the others. A workspace that always sends most requests is not large in a burst
// of all workspaces.
func (l *Limiter) isLarge(workspace string) bool {
	held := l.held[workspace]
	overEqual := len(l.held) > 1 && held*float64(len(l.held)) > largeFactor*l.total
	return overEqual && l.usual.exceeded(workspace, held, l.total-held, largeFactor)
}
