// Package claim decides which instance may dispatch a request that bears an
// idempotency key.
//
// Instances share only the platform's service. A claim is an entry in one of
// several records there, written by compare-and-swap before the dispatch; many
// claims go into one write. An entry belongs to one incarnation for good: no
// other incarnation ever dispatches a claimed key, so no clock or lease of one
// instance is trusted by another.
package claim
