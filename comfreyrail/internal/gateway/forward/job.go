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
	urgency         int          // 0 is the most urgent
	deadline        time.Time    // when a response must begin, so that it reaches the caller in time
	end             time.Time    // end of the route's or the caller's timeout, whichever is first
	begin           func() error // called before a response begins, which its error prevents
	method          string
	target          string
	host            string
	header          http.Header
	body            *limit.Buffer // the whole body once it has been read
	digest          string        // identifies the request with its body, whenever it is sent again
	startedAt       time.Time
	attempts        int
	unsent          int            // attempts whose request was certainly not sent
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
	retryDenied     string // why no other attempt at the stream followed the last one, empty if that did not fail

	// The fields below are used by streams only.

	out         *eventWriter   // writes the events of all attempts to the caller
	succession  *succession    // start of a successor of the current attempt, nil if none is being started
	successor   *streamAttempt // attempt that has begun to respond and replaces the current one, nil if there is none
	isSuccessor bool           // whether this is the copy of a job with which a successor is started
}

// maxUnsentAttempts is the maximum number of unsent attempts that don't count against the route's limit. It bounds the time
// that a request spends on servers that cannot be reached.
const maxUnsentAttempts = 2

// hasAttemptsLeft reports whether the route allows another attempt. An attempt whose request was certainly not sent has reached no server.
func (j *job) hasAttemptsLeft() bool {
	return j.attempts-min(j.unsent, maxUnsentAttempts) < j.route.MaxAttempts
}

// Limits of the part of a caller's timeout that is kept for the response to reach it.
const (
	// maxDeliveryTime is the longest time that is kept. It includes the time from the caller's clock to the start of the handling,
	// in which the request crosses the network and waits for the processor: a process whose share of a core is used up may stand still
	// for most of a tenth of a second.
	maxDeliveryTime = 100 * time.Millisecond
	// deliveryDivisor is the inverse of the largest part of a timeout that is kept.
	deliveryDivisor = 10
)

// lessDelivery returns the part of a caller's timeout within which the response must be sent to reach it in time.
func lessDelivery(timeout time.Duration) time.Duration {
	return timeout - min(maxDeliveryTime, timeout/deliveryDivisor)
}

// setDeadline sets the end to that of the shorter of the route's timeout and the caller's, or of defaultTimeout if there is neither. The
// caller's timeout runs on its own side, so that the deadline of the response is some time before it ends.
func (j *job) setDeadline() {
	j.end = j.startedAt.Add(shorterTimeout(j.route.Timeout, j.request.Timeout))
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
