// Package upstream sends requests to backend servers over a pool of HTTP/1.1 connections.
//
// It never sends a request twice. An error of Send reports whether any byte of the request may have been sent, because
// only then may the request have run.
//
// It is for the gateway mode (command gateway); package traffic/dispatch does the same in router mode (command run).
package upstream
