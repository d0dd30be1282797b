package headroom

import "time"

// Times and weights of usualShares.
const (
	// usualPeriod is the time without a refusal after which the requests of that time count as usual.
	usualPeriod = 5 * time.Second
	// usualWeight is the weight of all earlier periods at the end of a period.
	usualWeight = 0.9
)

// usualShares holds how the memory that requests ask for is usually shared among workspaces. It counts whole periods without
// refusals only, so that neither a burst nor what refusals leave of it counts.
type usualShares struct {
	tokens    map[string]float64 // by workspace, in the periods that count
	total     float64
	current   map[string]float64 // by workspace, in the current period
	startedAt time.Time          // begin of the current period, zero if there is none
}

func newUsualShares() *usualShares {
	return &usualShares{tokens: make(map[string]float64), current: make(map[string]float64)}
}

// started records the memory that a request gets, in tokens.
func (u *usualShares) started(now time.Time, workspace string, tokens float64) {
	if u.startedAt.IsZero() {
		u.startedAt = now
	}
	if now.Sub(u.startedAt) >= usualPeriod {
		u.endPeriod()
		u.startedAt = now
	}
	u.current[workspace] += tokens
}

// refused discards the current period.
func (u *usualShares) refused() {
	clear(u.current)
	u.startedAt = time.Time{}
}

// endPeriod adds the current period to those that count.
func (u *usualShares) endPeriod() {
	u.total = 0
	for workspace, tokens := range u.tokens {
		u.tokens[workspace] = tokens * usualWeight
		if u.tokens[workspace] < 1 {
			delete(u.tokens, workspace)
		}
	}
	for workspace, tokens := range u.current {
		u.tokens[workspace] += tokens
	}
	for _, tokens := range u.tokens {
		u.total += tokens
	}
	clear(u.current)
}

// exceeded reports whether the ratio of the memory that a workspace holds to what the others hold is more than factor times as
// large as usual. It is if nothing is known.
func (u *usualShares) exceeded(workspace string, held, others, factor float64) bool {
	usual := u.tokens[workspace]
	return u.total <= 0 || held*(u.total-usual) > factor*usual*others
}
