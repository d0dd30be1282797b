package outcome

// Dispatch tracks what is known about one dispatch of a request to one backend server.
//
// The zero value is a dispatch of which nothing has been written.
type Dispatch struct {
	connection uint64
	wrote      bool
	refused    bool
	answered   bool
	ended      bool
}

// TryWrite reports whether a byte may be written on the connection, and counts it as written if so.
//
// After the first byte every other connection is refused, since writing there would repeat the request,
// and after End every connection is.
func (d *Dispatch) TryWrite(connection uint64) bool {
	if d.ended || (d.wrote && d.connection != connection) {
		return false
	}
	d.connection, d.wrote = connection, true
	return true
}

// UndoWrite takes back the first write, of which the connection accepted no byte.
func (d *Dispatch) UndoWrite() { d.wrote = false }

// Wrote reports whether the first byte may have been written.
func (d *Dispatch) Wrote() bool { return d.wrote }

// MarkRefused tells that the backend server answered, in the way its protocol defines, that it runs nothing.
func (d *Dispatch) MarkRefused() { d.refused = true }

// MarkResponded tells that the whole answer arrived.
func (d *Dispatch) MarkResponded() { d.answered = true }

// End returns the outcome and allows no more writes.
func (d *Dispatch) End() Outcome {
	d.ended = true
	switch {
	case d.refused:
		return NotRun
	case d.answered:
		return Done
	case d.wrote:
		return Unknown
	default:
		return NotRun
	}
}

// RetryPolicy decides whether a request may be dispatched again.
type RetryPolicy struct {
	// Idempotent says that the request may run more than once.
	Idempotent bool
	// Limit is the greatest number of dispatches.
	Limit int
	// TakeRetry takes one retry from a budget, or reports that the budget is used up; nil allows no retry.
	TakeRetry func() bool

	dispatches int
}

// AllowRetry reports whether the request may be dispatched after a dispatch with this outcome.
//
// A dispatch that may have run is followed by another only if the request is idempotent.
func (a *RetryPolicy) AllowRetry(last Outcome) bool {
	a.dispatches++
	if a.dispatches >= a.Limit {
		return false
	}
	switch last {
	case NotRun:
		return true
	case Unknown:
		return a.Idempotent && a.TakeRetry != nil && a.TakeRetry()
	default:
		return false
	}
}
