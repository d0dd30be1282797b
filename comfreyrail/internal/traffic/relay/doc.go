// Package relay sends plain requests, which match a route by their path, to the
// backend servers of plain pools.
//
// A request that is not idempotent runs at most once.
package relay
