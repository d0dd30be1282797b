// Package forward receives requests from callers and forwards them to backend servers.
//
// A request is sent to at most the number of servers that its route allows. It is sent to a second server only if it may
// run more than once, or if the first server certainly did not run it. If no server's response can be relayed, the
// response has status 503 if certainly no server ran the request, and otherwise 502 or 504. A stream that cannot be
// continued after its headers were sent is aborted.
//
// A request to a service of engines runs along a chain (pipeline.Chain): an ordered list of stages, each an engine with a
// range of layers. A request to any other service runs at one plain server.
//
// It is for the gateway mode (command gateway); packages traffic/entry, traffic/relay and traffic/completion do the same in
// router mode (command run).
package forward
