package forward

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/route"
)

// errNotBegun is the error of a request whose response has not begun when its caller is about to disconnect.
const errNotBegun = errors.ConstError("the response has not begun before the caller disconnects")

// limitBegin returns a context that ends when the response must have begun, unless it has, so that the caller can still get an error
// response. It sets begin.
func (j *job) limitBegin(ctx context.Context) (limited context.Context, cancel func()) {
	limited, cancelCause := context.WithCancelCause(ctx)
	timer := time.AfterFunc(time.Until(j.beginDeadline()), func() { cancelCause(errNotBegun) })
	j.begin = func() error {
		if !timer.Stop() {
			cancelCause(errNotBegun)
			return errNotBegun
		}
		return nil
	}
	return limited, func() {
		timer.Stop()
		cancelCause(nil)
	}
}

// beginDeadline returns when the response must have begun: its deadline or, for a stream, the time at which the caller is about to
// disconnect without an event, whichever is first.
func (j *job) beginDeadline() time.Time {
	if j.route.Kind != route.Stream || j.route.AbandonTime <= 0 {
		return j.deadline
	}
	abandoned := j.startedAt.Add(lessDelivery(j.route.AbandonTime))
	if abandoned.Before(j.deadline) {
		return abandoned
	}
	return j.deadline
}

// deliver sends a server's response to the caller and releases it. If it is too late to begin the response, only one that has been read
// whole is sent; for others it returns the response to a timeout.
func (j *job) deliver(ctx context.Context, w http.ResponseWriter, held *heldResponse) error {
	if j.begin() != nil && !held.complete {
		held.discard()
		return j.timeoutResponse()
	}
	return held.deliver(ctx, w)
}
