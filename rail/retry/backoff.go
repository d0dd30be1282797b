package retry

import (
	"math/rand"
	"time"
)

// Backoff returns the wait before the attempt with that number, 1 for the first retry, at random between a half and the
// whole of base doubled with each attempt, and at most most.
func Backoff(random *rand.Rand, attempt int, base, most time.Duration) time.Duration {
	wait := base
	for i := 1; i < attempt && wait < most; i++ {
		wait *= 2
	}
	wait = min(wait, most)
	return wait/2 + time.Duration(random.Int63n(int64(wait/2)+1))
}
