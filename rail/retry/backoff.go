package retry

import (
	"math/rand"
	"time"
)

// Backoff returns the time to wait before the attempt with that number, 1 for the first retry.
//
// The wait is random between a half and the whole of an upper bound, which is base for the first retry, doubles with
// each further attempt and does not exceed maxWait.
func Backoff(random *rand.Rand, attempt int, base, maxWait time.Duration) time.Duration {
	wait := base
	for i := 1; i < attempt && wait < maxWait; i++ {
		wait *= 2
	}
	wait = min(wait, maxWait)
	return wait/2 + time.Duration(random.Int63n(int64(wait/2)+1))
}
