package admit

import "time"

// Constants of the adaptive limit.
const (
	// windowSize is the number of finished requests after which the limit is weighed again.
	windowSize = 32
	// tolerance is the time for a unit of work, relative to the usual one, above which the limit shrinks.
	tolerance = 2.0
	// shrink and growth change the limit after one window.
	shrink = 0.9
	growth = 0.1
	// drift lets the usual time rise slowly, so that it follows a pool that has become slower.
	drift = 1.01
	// descent is the weight of a window whose time is below the usual one.
	descent = 0.2
	// smoothing is the weight of one window in the mean time for a unit of work.
	smoothing = 0.3
)

// limiter adapts the number of requests in progress to the time that they take.
type limiter struct {
	limit  float64
	most   float64
	usual  time.Duration
	mean   time.Duration
	sum    time.Duration
	count  int
	wanted bool
}

// allow returns the number of requests that may be in progress.
func (l *limiter) allow() int { return max(1, int(min(l.limit, l.most))) }

// setMost sets the greatest limit, and raises a limit that stood at the old one.
func (l *limiter) setMost(most int) {
	if l.limit >= l.most {
		l.limit = float64(most)
	}
	l.most = float64(most)
}

// observe takes in the time for a unit of work of a finished request; wanted tells that the limit was in use.
func (l *limiter) observe(perUnit time.Duration, wanted bool) {
	l.sum += perUnit
	l.count++
	l.wanted = l.wanted || wanted
	if l.mean == 0 {
		l.mean = perUnit
	}
	if l.count < windowSize {
		return
	}
	mean := l.sum / time.Duration(l.count)
	l.mean += time.Duration(smoothing * float64(mean-l.mean))
	switch {
	case l.usual == 0:
		l.usual = mean
	case mean < l.usual:
		l.usual += time.Duration(descent * float64(mean-l.usual))
	default:
		l.usual = min(mean, time.Duration(float64(l.usual)*drift))
	}
	switch {
	case float64(mean) > tolerance*float64(l.usual):
		l.limit = max(1, min(l.limit, l.most)*shrink)
	case l.wanted:
		l.limit = min(l.most, l.limit+max(1, l.limit*growth))
	}
	l.sum, l.count, l.wanted = 0, 0, false
}

// expected returns the expected time of a request with that much work, zero if nothing is known.
func (l *limiter) expected(units float64) time.Duration {
	return time.Duration(units * float64(l.mean))
}
