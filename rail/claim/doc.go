// Package claim decides which instance may dispatch a request that carries an
// idempotency key.
//
// The platform's service is the only storage that instances share. A claim is
// an entry in one of several records there, written by compare-and-swap before
// the dispatch; one write carries many claims. An entry belongs to one
// incarnation permanently: no other incarnation ever dispatches a claimed key,
// so no instance depends on the clock or the lease of another.
package claim
