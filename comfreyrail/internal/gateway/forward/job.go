package forward

import (
	"net/http"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// job is the state of one request from its arrival to its end.
type job struct {
	request         call.Request
	route           *route.Route
	bodyLate        bool // the body didn't arrive before the deadline, for which net/http cancels the context
	service         string
	workspace       string
	urgency         int       // 0 is the most urgent
	deadline        time.Time // end of the route's or the caller's timeout, whichever is first
	method          string
	target          string
	host            string
	header          http.Header
	body            *limit.Buffer // the whole body once it has been read
	startedAt       time.Time
	attempts        int
	avoid           []string       // IDs of plain servers that the request must not be sent to again
	excluded        event.Excluded // servers that the last choice excluded because of what they said of themselves
	mayHaveRun      bool           // whether a backend server may have run the request
	positionUnknown bool           // whether the caller's last event of the stream has no ID, so that the stream cannot be resumed after it
	lastServer      string
	timeToFirstData time.Duration // time from arrival to the first data of the stream
	maxGap          time.Duration // longest time between two arrivals of data
	lastDataAt      time.Time     // time of the last arrival of data
	events          int
	chainText       string // engines of the last attempt with their layers, for logs

	// The fields below are used by streams only.

	out         *eventWriter   // writes the events of all attempts to the caller
	succession  *succession    // start of a successor of the current attempt, nil if none is being started
	successor   *streamAttempt // attempt that has begun to respond and replaces the current one, nil if there is none
	isSuccessor bool           // whether this is the copy of a job with which a successor is started
}

// Limits of the part of a caller's timeout that is kept for the response to reach it.
const (
	// maxDeliveryTime is the longest time that is kept. A process whose share of a core is used up may stand still for most of a tenth
	// of a second.
	maxDeliveryTime = 100 * time.Millisecond
	// deliveryDivisor is the inverse of the largest part of a timeout that is kept.
	deliveryDivisor = 10
)

// lessDelivery returns the part of a caller's timeout within which the response must be sent to reach it in time.
func lessDelivery(timeout time.Duration) time.Duration {
	return timeout - min(maxDeliveryTime, timeout/deliveryDivisor)
}

// setDeadline sets the deadline to the shorter of the route's timeout and the caller's, or to defaultTimeout if there is neither. The
// caller's timeout runs on its own side, so that the response must be sent some time before it ends.
func (j *job) setDeadline() {
	j.deadline = j.startedAt.Add(shorterTimeout(j.route.Timeout, lessDelivery(j.request.Timeout)))
}

// shorterTimeout returns the shorter of two timeouts, of which those that aren't positive don't count, or defaultTimeout.
func shorterTimeout(a, b time.Duration) time.Duration {
	switch {
	case a > 0 && b > 0:
		return min(a, b)
	case a > 0 || b > 0:
		return max(a, b)
	default:
		return defaultTimeout
	}
}

// releaseBody returns the memory of the body.
func (j *job) releaseBody() {
	if j.body != nil {
		j.body.Release()
	}
}

// needsNewConnection reports whether the request must not be sent on an idle connection. If the server closes such a connection just
// as the request is sent, a request that must not run more than once cannot be sent again. If the server sends an earlier response
// again, that could be taken for the response to a request without an ID.
func (j *job) needsNewConnection() bool { return !j.route.Repeatable() || j.request.ID == "" }
