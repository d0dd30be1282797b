package forward

import (
	"net/http"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/call"
)

// Errors of responses that must not be relayed, whatever their bodies are.
const (
	// errWrongRequest is the error of a response that carries the ID of another request.
	errWrongRequest = errors.ConstError("the response belongs to another request")
	// errUnsigned is the error of a successful response without the server's signature.
	errUnsigned = errors.ConstError("the response reports success without the server's signature")
	// errRefusalAfterRun is the error of a response whose status refuses the request although the server may have run it.
	errRefusalAfterRun = errors.ConstError("the response refuses the request, but does not say that it was not run")
)

// checkValidity returns an error if a response with the status and metadata must not be relayed as the response to the request.
func (j *job) checkValidity(status int, meta call.Response) error {
	switch {
	case meta.ID != j.request.ID:
		return errWrongRequest
	case meta.NotRun:
		return nil
	case isSuccess(status) && !meta.Signed:
		return errUnsigned
	case isRefusal(status):
		return errors.Annotatef(errRefusalAfterRun, "status %d", status)
	default:
		return nil
	}
}

// isSuccess reports whether a final status is one of success.
func isSuccess(status int) bool { return status < http.StatusMultipleChoices }

// isRefusal reports whether callers take a status for the promise that their request was not run.
func isRefusal(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	default:
		return false
	}
}
