package forward

import (
	"fmt"
	"net/http"
	"time"
)

// RequestID returns the ID that the caller gave its request, which log lines about the request contain, or an empty string.
func (f *Forwarder) RequestID(r *http.Request) string { return f.config.ReadRequest(r.Header).ID }

// RefuseStopping refuses a request that arrives while the instance is stopping and must not run here.
func (f *Forwarder) RefuseStopping(w http.ResponseWriter, _ *http.Request) {
	writeErrorResponse(w, stoppingResponse())
}

// RespondPanicked responds to a request whose handler panicked, so that it may have been run.
func (f *Forwarder) RespondPanicked(w http.ResponseWriter, _ *http.Request) {
	writeErrorResponse(w, &errorResponse{status: http.StatusBadGateway, code: "internal"})
}

func stoppingResponse() *errorResponse {
	return &errorResponse{status: http.StatusServiceUnavailable, code: "stopping", retryAfter: retryElsewhereAfter}
}

// CloseResponse returns the complete HTTP response that ends an idle connection while the instance is stopping. To a caller that has
// sent a request at the same time it shows that the request was not run.
func CloseResponse() []byte {
	return endingResponse(stoppingResponse().code, retryElsewhereAfter)
}

// TimeoutResponse returns the complete HTTP response that ends a connection on which no whole request arrived in time. To a caller
// that has sent a request at the same time it shows that the request was not run and can be sent again at once.
func TimeoutResponse() []byte { return endingResponse("no-request", 0) }

// endingResponse returns a complete HTTP response with status 408 that ends a connection.
func endingResponse(code string, retryAfter time.Duration) []byte {
	body := code + "\n"
	const format = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nRetry-After: %.2f\r\nContent-Length: %d\r\n\r\n%s"
	return fmt.Appendf(nil, format, retryAfter.Seconds(), len(body), body)
}

// stopPlan holds the times of a planned stop of the instance, with their monotonic clock readings.
type stopPlan struct {
	refuseFrom time.Time // the load balancer may send new callers here until then
	abortAt    time.Time // when requests in progress are aborted
}

// PlanStop sets the times of a stop: requests that are still in progress at abortAt are aborted, and from refuseFrom on
// requests whose timeout ends later are refused. Before refuseFrom the load balancer may still send new callers here, so that a
// refused caller could be sent to this instance again.
func (f *Forwarder) PlanStop(refuseFrom, abortAt time.Time) {
	f.stopPlan.Store(&stopPlan{refuseFrom: refuseFrom, abortAt: abortAt})
}

// responseMargin is the time that the response to a request whose deadline has passed needs to reach its caller.
const responseMargin = 100 * time.Millisecond

// acceptsBeforeAbort reports whether to accept a request. It does so if no stop is planned, if the load balancer may still send
// callers here, or if the request's timeout ends before requests are aborted. Nothing else bounds the time of a request, whose server
// may be slow or fall silent, and its caller loses less by being sent to another instance than by being aborted.
func (f *Forwarder) acceptsBeforeAbort(j *job) bool {
	plan := f.stopPlan.Load()
	return plan == nil || time.Now().Before(plan.refuseFrom) || j.end.Add(responseMargin).Before(plan.abortAt)
}
