package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome says what is known about the execution of a request.
type Outcome string

const (
	// Done means that the backend servers ran the request and the caller got the whole answer.
	Done Outcome = "done"
	// NotRun means that no backend server ran any part of the request, nor will.
	NotRun Outcome = "notrun"
	// Unknown means that the request may have run, may be running, or may not have run.
	Unknown Outcome = "unknown"
)

// Header is the HTTP header, and for streamed answers the trailer, that carries the Outcome.
const Header = "Comfrey-Outcome"

// RequestHeader is the HTTP header that carries the id of a request through every log line.
const RequestHeader = "Comfrey-Request"

// Code names the reason of a failure for programs.
type Code string

const (
	// CodeInvalid marks a request that is malformed or exceeds a limit.
	CodeInvalid Code = "invalid"
	// CodeNoRoute marks a request that no route matches.
	CodeNoRoute Code = "noroute"
	// CodeNoServer marks a request for which the pool has no usable backend server.
	CodeNoServer Code = "noserver"
	// CodeOverload marks a request refused because its queue is full or its deadline cannot be met.
	CodeOverload Code = "overload"
	// CodeStopping marks a request refused because the instance is stopping.
	CodeStopping Code = "stopping"
	// CodeClaimed marks a request whose idempotency key another request has claimed.
	CodeClaimed Code = "claimed"
	// CodeMismatch marks a request whose idempotency key was claimed for another request.
	CodeMismatch Code = "mismatch"
	// CodeStore marks a request that needs the platform's service while the service is unavailable.
	CodeStore Code = "store"
	// CodeBackend marks a request that a backend server refused, broke off or answered wrongly.
	CodeBackend Code = "backend"
	// CodeDeadline marks a request whose deadline passed.
	CodeDeadline Code = "deadline"
	// CodeCaller marks a request whose caller left.
	CodeCaller Code = "caller"
	// CodeInternal marks a request that a fault of the router stopped.
	CodeInternal Code = "internal"
	// CodeInvariant marks a request that was stopped because an invariant did not hold.
	CodeInvariant Code = "invariant"
)

// Failure is the error that a caller receives, together with what is known about the execution.
type Failure struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome `json:"outcome"`
	// Code names the reason for programs.
	Code Code `json:"code"`
	// Message explains the reason to people.
	Message string `json:"message"`
	// RetryAfter is the time after which a repeat may succeed, zero if nothing is known.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the reason together with the outcome.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// NotRunf returns a Failure for a request that provably did not run.
func NotRunf(code Code, format string, args ...any) *Failure {
	return &Failure{Outcome: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Unknownf returns a Failure for a request that may have run.
func Unknownf(code Code, format string, args ...any) *Failure {
	return &Failure{Outcome: Unknown, Code: code, Message: fmt.Sprintf(format, args...)}
}

// FromError returns the Failure inside err, or an Unknown one if err holds none.
func FromError(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return Unknownf(CodeBackend, "%v", err)
}

// Status returns the HTTP status code that stands for the failure.
func (f *Failure) Status() int {
	switch f.Code {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeNoRoute:
		return http.StatusNotFound
	case CodeOverload:
		return http.StatusTooManyRequests
	case CodeNoServer, CodeStopping, CodeStore:
		return http.StatusServiceUnavailable
	case CodeClaimed:
		return http.StatusConflict
	case CodeMismatch:
		return http.StatusUnprocessableEntity
	case CodeDeadline:
		return http.StatusGatewayTimeout
	case CodeInvariant, CodeInternal:
		return http.StatusInternalServerError
	default:
		return http.StatusBadGateway
	}
}
