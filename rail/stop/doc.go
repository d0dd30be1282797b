// Package stop implements the graceful shutdown of an instance, which cuts no
// request.
//
// After the first request to stop, the instance reports to the balancer that it
// is not ready and serves as before for the balancer's lag, but its responses
// request that callers close their connections. Then it refuses requests on new
// connections, ends connections that stay idle, closes its listener, waits for
// the requests in progress, releases its lease and exits. After a second request
// to stop, or at the timeout, it cuts the requests that are left and lists them.
//
// In HTTP/1.1, a server that closes an idle connection cannot exclude that a
// request is in flight on it. An idle connection is therefore ended by a
// response without a request: status 408 with the outcome "not run". A caller
// that was sending a request takes it as the response to that request, and an
// idle caller finds the connection closed. Bytes that arrive later are never
// read as a request, so the outcome is correct.
package stop
