// Package relay sends plain requests, which match a route by their path, to the
// backend servers of plain pools.
//
// A request that is not idempotent runs at most once.
//
// It is for the router mode (command run); package gateway/forward does the same
// in gateway mode (command gateway).
package relay
