// Package stop decides how an instance stops without cutting a request.
//
// Asked to stop, the instance tells the balancer that it is not ready and goes
// on as before for the balancer's lag, but its answers ask the callers to close
// their connections. Then it refuses requests on new connections, ends the
// connections that stay idle, closes its listener, waits for the requests in
// progress, gives up its lease and exits. Asked twice, or at a limit, it cuts
// what is left and says what.
//
// HTTP/1.1 has no way to close an idle connection that cannot meet a request on
// its way. An idle connection is therefore ended by an answer that nobody asked
// for: status 408 with the outcome "not run". A caller that was sending reads it
// as the answer, an idle one finds the connection closed. Bytes that arrive
// later are never read as a request, so the answer is true.
package stop
