package headroom

import "time"

// Times and weights of usualShares.
const (
	// usualPeriod is the time without a refusal after which the requests of that time count as usual.
	usualPeriod = 5 * time.Second
	// usualStep is the time after which the requests of that time move from one map of usualShares to the next.
	usualStep = time.Second
	// usualWeight is the weight of all earlier periods at the end of a period.
	usualWeight = 0.9
)

// usualShares holds how the memory that requests ask for is usually shared among workspaces. It counts whole periods without
// refusals, so that neither a burst nor what refusals leave of it counts. Until the first of these has ended, it counts what came
// at least a step before the first refusal.
type usualShares struct {
	tokens    map[string]float64 // by workspace, in the periods that count
	total     float64
	current   map[string]float64 // by workspace, in the current period, except for the last two steps
	previous  map[string]float64 // in the step before the current one
	newest    map[string]float64 // in the current step
	startedAt time.Time          // begin of the current period, zero if there is none
	stepAt    time.Time          // begin of the current step
}

func newUsualShares() *usualShares {
	return &usualShares{
		tokens: make(map[string]float64), current: make(map[string]float64), previous: make(map[string]float64), newest: make(map[string]float64),
	}
}

// started records the memory that a request gets, in tokens.
func (u *usualShares) started(now time.Time, workspace string, tokens float64) {
	if u.startedAt.IsZero() {
		u.startedAt, u.stepAt = now, now
	}
	if now.Sub(u.startedAt) >= usualPeriod {
		u.endStep(now)
		u.endStep(now)
		u.endPeriod()
		u.startedAt = now
	}
	if now.Sub(u.stepAt) >= usualStep {
		u.endStep(now)
	}
	u.newest[workspace] += tokens
}

// endStep adds the step before the current one to the current period.
func (u *usualShares) endStep(now time.Time) {
	addTokens(u.current, u.previous)
	clear(u.previous)
	u.previous, u.newest = u.newest, u.previous
	u.stepAt = now
}

// refused discards the current period, but counts its older part if nothing else is known.
func (u *usualShares) refused() {
	if u.total <= 0 {
		u.endPeriod()
	}
	clear(u.current)
	clear(u.previous)
	clear(u.newest)
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
	addTokens(u.tokens, u.current)
	for _, tokens := range u.tokens {
		u.total += tokens
	}
	clear(u.current)
}

// addTokens adds the tokens of each workspace to those in sum.
func addTokens(sum, tokens map[string]float64) {
	for workspace, n := range tokens {
		sum[workspace] += n
	}
}

// exceeded reports whether the ratio of the memory that a workspace holds to what the others hold is more than factor times as
// large as usual. It is if nothing is known.
func (u *usualShares) exceeded(workspace string, held, others, factor float64) bool {
	usual := u.tokens[workspace]
	return u.total <= 0 || held*(u.total-usual) > factor*usual*others
}
