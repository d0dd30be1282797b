package outcome

// Dispatch tracks the outcome of one dispatch of a request to one backend server.
//
// The zero value is a dispatch of which no byte has been written.
type Dispatch struct {
	connection uint64
	written    bool
	refused    bool
	responded  bool
	ended      bool
}

// TryWrite reports whether a byte may be written on the connection, and if so records it as written. It returns false
// after End and, after the first byte, for every other connection, since writing there would repeat the request.
func (d *Dispatch) TryWrite(connection uint64) bool {
	if d.ended || (d.written && d.connection != connection) {
		return false
	}
	d.connection, d.written = connection, true
	return true
}

// UndoWrite reverts the first TryWrite; it may be called only if the connection accepted no byte.
func (d *Dispatch) UndoWrite() { d.written = false }

// Wrote reports whether any byte may have been written.
func (d *Dispatch) Wrote() bool { return d.written }

// MarkRefused records that the backend server refused the request without running it, in the way that its protocol defines.
func (d *Dispatch) MarkRefused() { d.refused = true }

// MarkResponded records that the complete response arrived.
func (d *Dispatch) MarkResponded() { d.responded = true }

// End ends the dispatch, after which TryWrite allows no write, and returns its outcome.
func (d *Dispatch) End() Outcome {
	d.ended = true
	switch {
	case d.refused:
		return NotRun
	case d.responded:
		return Done
	case d.written:
		return Unknown
	default:
		return NotRun
	}
}

// RetryPolicy decides whether a request may be dispatched again; it counts the dispatches of one request.
type RetryPolicy struct {
	// Idempotent reports whether the request may run more than once.
	Idempotent bool
	// MaxDispatches is the maximum number of dispatches, including the first.
	MaxDispatches int
	// TakeRetry takes one retry from the retry budget and reports whether one was left; nil means that none is left,
	// unlike in stream.RecoveryConfig, where nil allows every attempt. It is not called after an outcome of NotRun,
	// which needs no budget.
	TakeRetry func() bool

	dispatches int
}

// AllowRetry reports whether the request may be dispatched again after a dispatch with the given outcome; it must be
// called once after each dispatch. After a dispatch that may have run, only an idempotent request may be dispatched
// again.
func (p *RetryPolicy) AllowRetry(last Outcome) bool {
	p.dispatches++
	if p.dispatches >= p.MaxDispatches {
		return false
	}
	switch last {
	case NotRun:
		return true
	case Unknown:
		return p.Idempotent && p.TakeRetry != nil && p.TakeRetry()
	default:
		return false
	}
}
