// Package relay forwards plain requests to plain services.
//
// A request that is not idempotent runs at most once.
package relay
