package load

import "time"

// Verdict is what a caller saw of one request.
type Verdict string

const (
	// Done is a whole answer.
	Done Verdict = "done"
	// NotRun is an answer which says that the request did not run.
	NotRun Verdict = "notrun"
	// Unknown is an answer which says that the request may have run.
	Unknown Verdict = "unknown"
	// Cut is a connection that broke, or went silent, without an outcome.
	Cut Verdict = "cut"
	// Refused is an attempt to connect that failed.
	Refused Verdict = "refused"
)

// verdicts lists every verdict in the order of the report.
func verdicts() []Verdict { return []Verdict{Done, NotRun, Unknown, Cut, Refused} }

// result is what one caller saw.
type result struct {
	verdict Verdict
	// code is the code of a failure.
	code string
	// detail explains a failure.
	detail string
	// wrong says how the answer differs from the right one; empty if it doesn't.
	wrong string
	// first is the time from the intended arrival to the first token; zero if none came.
	first time.Duration
	// gaps are the times between tokens.
	gaps []time.Duration
	// whole is the time from the intended arrival to the end of the answer.
	whole time.Duration
}
