package admit

import "time"

// Parameters of the adaptive limit.
const (
	// windowSize is the number of finished requests after which the limit is adjusted.
	windowSize = 32
	// maxSlowdown is the time per unit of work, as a multiple of the baseline, above which the limit is reduced.
	maxSlowdown = 2.0
	// shrinkFactor multiplies the limit after a window above maxSlowdown.
	shrinkFactor = 0.9
	// growthFraction is the part of the limit, at least one request, that is added after a window in which it was reached.
	growthFraction = 0.1
	// baselineDrift is the maximum factor by which a window raises the baseline, so that it slowly follows a slower pool.
	baselineDrift = 1.01
	// baselineDescentWeight is the weight in the baseline of a window whose mean time is below the baseline.
	baselineDescentWeight = 0.2
	// meanWeight is the weight of one window in the moving average of the time per unit of work.
	meanWeight = 0.3
)

// limiter adapts the limit on requests in progress to the time per unit of work: the limit grows if it is reached, and
// shrinks while the time exceeds maxSlowdown times its baseline.
type limiter struct {
	limit    float64
	maxLimit float64
	// baseline is the usual time per unit of work.
	baseline time.Duration
	// meanTime is a moving average of the time per unit of work.
	meanTime time.Duration
	// sum and count cover the requests of the current window.
	sum   time.Duration
	count int
	// saturated reports whether the limit was reached in the current window.
	saturated bool
}

// allowed returns the number of requests that may be in progress, at least one.
func (l *limiter) allowed() int { return max(1, int(min(l.limit, l.maxLimit))) }

// setMaxLimit sets the maximum of the limit; a limit that was at the old maximum moves to the new one.
func (l *limiter) setMaxLimit(maxLimit int) {
	if l.limit >= l.maxLimit {
		l.limit = float64(maxLimit)
	}
	l.maxLimit = float64(maxLimit)
}

// observe records the time per unit of work of a finished request; saturated reports whether the limit was reached.
func (l *limiter) observe(perUnit time.Duration, saturated bool) {
	l.sum += perUnit
	l.count++
	l.saturated = l.saturated || saturated
	if l.meanTime == 0 {
		l.meanTime = perUnit
	}
	if l.count < windowSize {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.meanTime += time.Duration(meanWeight * float64(mean-l.meanTime))
	switch {
	case l.baseline == 0:
		l.baseline = mean
	case mean < l.baseline:
		l.baseline += time.Duration(baselineDescentWeight * float64(mean-l.baseline))
	default:
		l.baseline = min(mean, time.Duration(float64(l.baseline)*baselineDrift))
	}
	switch {
	case float64(mean) > maxSlowdown*float64(l.baseline):
		l.limit = max(1, min(l.limit, l.maxLimit)*shrinkFactor)
	case l.saturated:
		l.limit = min(l.maxLimit, l.limit+max(1, l.limit*growthFraction))
	}
	l.sum, l.count, l.saturated = 0, 0, false
}

// expectedTime returns the expected execution time of the number of units of work, or zero before the first observation.
func (l *limiter) expectedTime(units float64) time.Duration {
	return time.Duration(units * float64(l.meanTime))
}
