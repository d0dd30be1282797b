package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for the duration. If the context is done first, it returns the error of the context.
func For(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter returns a random duration between 3/4 and 5/4 of d. It panics if d is less than 2ns.
func Jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
