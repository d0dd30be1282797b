package pause

import (
	"context"
	"math/rand/v2"
	"time"
)

// For waits for the time, or returns the error of the context if that ends first.
func For(ctx context.Context, d time.Duration) error {
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Jitter returns a random time between three quarters and five quarters of d.
func Jitter(d time.Duration) time.Duration {
	return d*3/4 + rand.N(d/2)
}
