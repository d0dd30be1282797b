package limit

import "sync/atomic"

// Budget bounds the memory that concurrent requests take together; its methods may be called concurrently, also on a nil
// Budget, which has no bound.
type Budget struct {
	max   int64
	taken atomic.Int64
}

// NewBudget returns a Budget of maxBytes bytes, none of which is taken.
func NewBudget(maxBytes int64) *Budget { return &Budget{max: maxBytes} }

// Take takes n bytes and reports whether the budget had them left; if it had not, nothing is taken.
func (b *Budget) Take(n int) bool {
	if b == nil {
		return true
	}
	if b.taken.Add(int64(n)) > b.max {
		b.taken.Add(-int64(n))
		return false
	}
	return true
}

// Return gives back n bytes that were taken.
func (b *Budget) Return(n int) {
	if b != nil {
		b.taken.Add(-int64(n))
	}
}

// Taken returns the number of bytes that are taken.
func (b *Budget) Taken() int64 {
	if b == nil {
		return 0
	}
	return b.taken.Load()
}
