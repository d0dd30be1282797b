package outcome

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome is what is known about the execution of a request.
type Outcome string

const (
	// Done means that the backend servers ran the request and their complete answer arrived.
	Done Outcome = "done"
	// NotRun means that no backend server ran any part of the request or will run it.
	NotRun Outcome = "notrun"
	// Unknown means that it is not known whether the request ran; it may still be running.
	Unknown Outcome = "unknown"
)

// Header is the name of the HTTP header, or for streamed answers the trailer, that carries the Outcome.
const Header = "Comfrey-Outcome"

// RequestIDHeader is the name of the HTTP header that carries the ID of the request, which every log line about it contains.
const RequestIDHeader = "Comfrey-Request"

// Code is a machine-readable reason for a failure.
type Code string

const (
	// CodeInvalid marks a request that is malformed or exceeds a limit.
	CodeInvalid Code = "invalid"
	// CodeNoRoute marks a request that no route matches.
	CodeNoRoute Code = "noroute"
	// CodeNoServer marks a request for which no usable backend server is left, or that was refused by every backend server to
	// which it was sent.
	CodeNoServer Code = "noserver"
	// CodeOverload marks a request that was refused because a limit on requests or idempotency keys is reached or its
	// deadline cannot be met.
	CodeOverload Code = "overload"
	// CodeStopping marks a request that was refused because the instance is stopping.
	CodeStopping Code = "stopping"
	// CodeClaimed marks a request whose idempotency key belongs, or may belong, to an earlier request whose answer is not
	// available.
	CodeClaimed Code = "claimed"
	// CodeMismatch marks a request whose idempotency key was used with another method, path or body, or was not minted by the
	// incarnation that it names.
	CodeMismatch Code = "mismatch"
	// CodeStore marks a request that failed because it needs the store, which is unavailable.
	CodeStore Code = "store"
	// CodeBackend marks a request that a backend server refused, aborted or answered with an invalid response.
	CodeBackend Code = "backend"
	// CodeDeadline marks a request whose deadline passed.
	CodeDeadline Code = "deadline"
	// CodeCaller marks a request whose caller disconnected.
	CodeCaller Code = "caller"
	// CodeInternal marks a request that failed because of a fault in the instance.
	CodeInternal Code = "internal"
	// CodeInvariant marks a request that was stopped because an invariant was violated.
	CodeInvariant Code = "invariant"
)

// Failure is the error that a caller receives, together with the outcome of its request.
type Failure struct {
	// Outcome is NotRun or Unknown.
	Outcome Outcome `json:"outcome"`
	// Code is the machine-readable reason.
	Code Code `json:"code"`
	// Message is the human-readable reason.
	Message string `json:"message"`
	// RetryAfter is the time after which a repeated request may succeed, zero if it is unknown.
	RetryAfter time.Duration `json:"-"`
}

// Error returns the code, the outcome and the message.
func (f *Failure) Error() string {
	return fmt.Sprintf("%s (%s): %s", f.Code, f.Outcome, f.Message)
}

// NotRunf returns a Failure with the outcome NotRun and a formatted message; the request must be known not to have run.
func NotRunf(code Code, format string, args ...any) *Failure {
	return &Failure{Outcome: NotRun, Code: code, Message: fmt.Sprintf(format, args...)}
}

// Unknownf returns a Failure with the outcome Unknown and a formatted message, for a request that may have run.
func Unknownf(code Code, format string, args ...any) *Failure {
	return &Failure{Outcome: Unknown, Code: code, Message: fmt.Sprintf(format, args...)}
}

// FromError returns the Failure in the chain of err, or an Unknown one with CodeBackend if there is none.
func FromError(err error) *Failure {
	var failure *Failure
	if errors.As(err, &failure) {
		return failure
	}
	return Unknownf(CodeBackend, "%v", err)
}

// Status returns the HTTP status code of the failure.
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
