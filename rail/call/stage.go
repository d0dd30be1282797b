package call

import "fmt"

// StageRejectedError means that a request was not moved to another chain because an engine of that chain does not hold its
// layers or has no memory for the request.
type StageRejectedError struct {
	// Address is the address of that engine, empty if it is not known.
	Address string
	// Cause is the underlying error.
	Cause error
}

// Error returns the cause and the engine.
func (e *StageRejectedError) Error() string {
	if e.Address == "" {
		return fmt.Sprintf("the request was not moved: %v", e.Cause)
	}
	return fmt.Sprintf("the request was not moved, engine %s cannot take it: %v", e.Address, e.Cause)
}

// Unwrap returns Cause.
func (e *StageRejectedError) Unwrap() error { return e.Cause }
