package retry

import (
	"math/rand"
	"time"
)

// Backoff returns the time to wait before a retry; the parameter retry is its number, 1 for the first.
//
// The wait is random between a half and the whole of an upper bound, which is base for the first retry, doubles with
// each further retry and does not exceed maxWait.
func Backoff(random *rand.Rand, retry int, base, maxWait time.Duration) time.Duration {
	wait := base
	for i := 1; i < retry && wait < maxWait; i++ {
		wait *= 2
	}
	wait = min(wait, maxWait)
	return wait/2 + time.Duration(random.Int63n(int64(wait/2)+1))
}
