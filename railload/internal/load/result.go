package load

import "time"

// Verdict is the result of one request as its caller observed it.
type Verdict string

const (
	// Done means that the outcome is done; whether the answer is correct is checked separately.
	Done Verdict = "done"
	// NotRun means that the response states that the request did not run.
	NotRun Verdict = "notrun"
	// Unknown means that the response states that the request may have run.
	Unknown Verdict = "unknown"
	// Broken means that the connection broke, timed out or ended without an outcome.
	Broken Verdict = "cut"
	// Unreachable means that the connection could not be established.
	Unreachable Verdict = "refused"
)

// verdicts returns every verdict in the order of the columns of the report.
func verdicts() []Verdict { return []Verdict{Done, NotRun, Unknown, Broken, Unreachable} }

// result is what one caller observed of its request.
type result struct {
	verdict Verdict
	// code is the code of the error in the answer; empty if there was none.
	code string
	// detail is the message of the error or the cause of a broken connection.
	detail string
	// failedCheck describes how the answer differs from the expected one; empty if the answer is correct.
	failedCheck string
	// firstToken is the time from the intended arrival to the first token; zero if no token was received.
	firstToken time.Duration
	// tokenGaps are the times between consecutive tokens.
	tokenGaps []time.Duration
	// endToEnd is the time from the intended arrival to the end of the answer.
	endToEnd time.Duration
}
