// Package stop implements the graceful shutdown of an instance, which aborts
// requests only at its timeout or if it is forced.
//
// After the first stop signal, the instance reports to the load balancer that
// it is not ready and serves as before for the load balancer's lag, but its
// responses carry the header "Connection: close". Then it refuses requests on
// new connections, ends connections that stay idle, closes its listener, waits
// for the requests in progress, releases its lease and exits. Shortly before
// the timeout it ends all idle connections. After a second signal, or at the
// timeout, it aborts the requests in progress and lists them.
//
// In HTTP/1.1, a request may already be in flight on an idle connection when
// the server closes it. An idle connection is therefore ended by a response
// without a request: status 408 with the outcome "not run". A caller
// that was sending a request takes it as the response to that request, and an
// idle caller finds the connection closed. Bytes that arrive later are never
// read as a request, so the outcome is correct. Bytes that are waiting when the
// connection is to be ended are read instead, and their request is served.
package stop
