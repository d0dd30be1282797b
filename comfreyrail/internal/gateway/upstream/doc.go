// Package upstream sends single requests to backend servers over HTTP/1.1 connections that it keeps.
//
// It never sends a request twice and says of each failure whether any byte of the request had left, as only then may the
// request have run.
package upstream
