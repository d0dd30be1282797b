// Package claims runs a request that has an idempotency key at most once across
// all instances. One goroutine owns the claims of the instance and commits
// them in batches to the platform's store.
package claims
