// Package claims runs requests that bear an idempotency key at most once over
// all instances. One goroutine owns the claims of the instance and commits
// them in groups to the platform's service.
package claims
