package forward

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/notice"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// waitError is an errNoChain for which servers that want no requests for a while are the reason.
type waitError struct{ wait notice.Wait }

// Error returns the time that is left.
func (e *waitError) Error() string {
	return fmt.Sprintf("no server wants requests for %v", e.wait.Left.Round(time.Millisecond))
}

// Unwrap returns errNoChain.
func (e *waitError) Unwrap() error { return errNoChain }

// waitsPast reports whether an attempt failed because no server wants requests before the deadline.
func waitsPast(err error, deadline time.Time) bool {
	var wait *waitError
	return errors.As(err, &wait) && time.Now().Add(wait.wait.Left).After(deadline)
}

// recordNotice records what a server says of itself in a response, unless it is the response to another request.
func (f *Forwarder) recordNotice(j *job, server backend.Server, response call.Response) {
	if response.ID == j.request.ID || response.ID == "" {
		f.config.Notices.Received(server, response)
	}
}

// excludeServers returns the IDs of the servers that the next attempt must not use, and records for the log how many of them are
// excluded because of what they said of themselves.
func (f *Forwarder) excludeServers(j *job, servers []backend.Server) (ids []string) {
	excluded := f.config.Notices.Exclude(servers)
	j.excluded = excludedEvent(excluded)
	return slices.Concat(j.avoid, excluded.IDs)
}

// excludedEngines returns the engines to which a running stream must not be moved because of what they said of themselves.
func (f *Forwarder) excludedEngines(a *streamAttempt) notice.Excluded {
	return f.config.Notices.Exclude(f.config.Catalog.Snapshot().Servers[a.service.Name])
}

// excludedEvent returns the numbers of excluded servers, for logs.
func excludedEvent(excluded notice.Excluded) event.Excluded {
	return event.Excluded{Leaving: excluded.Leaving, Waiting: excluded.Waiting}
}

// noServerError returns the error of an attempt for which there is no plain server.
func (f *Forwarder) noServerError(servers []backend.Server) error {
	if wait, ok := f.config.Notices.ServerWait(servers); ok {
		return &waitError{wait: wait}
	}
	return errNoChain
}

// retryAfterRounding is the maximum by which rounding a delay to hundredths of a second shortens it.
const retryAfterRounding = 5 * time.Millisecond

// withWait returns the response to a request that no server has run: the given one or, if that has status 503 for another reason than
// being blocked and the service can run no request for a while, one whose Retry-After contains that time.
func (f *Forwarder) withWait(j *job, response *errorResponse) *errorResponse {
	if response.status != http.StatusServiceUnavailable || response.blocked != (poison.Cause{}) {
		return response
	}
	wait, ok := f.serviceWait(j)
	if !ok {
		return response
	}
	j.excluded.Wait = wait.Left
	return &errorResponse{status: response.status, code: "servers-waiting", retryAfter: wait.RetryAfter(rand.Float64()) + retryAfterRounding}
}

// serviceWait returns the time until the service of a request can run one. It returns false if it can now, or if the time is
// unknown because servers are leaving, draining or missing.
func (f *Forwarder) serviceWait(j *job) (wait notice.Wait, ok bool) {
	service, servers, _ := f.pickService(j)
	if service.Engine == nil {
		return f.config.Notices.ServerWait(servers)
	}
	return f.config.Notices.ChainWait(servers, service.Engine.Layers)
}
