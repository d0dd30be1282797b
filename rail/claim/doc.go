// Package claim decides which instance may dispatch a request that carries an
// idempotency key.
//
// The platform's store, whose client is package kv, is the only storage that
// instances share. A claim is an entry in one of several records there, written
// by compare-and-swap before the dispatch; one write can carry many claims. An
// entry never changes its owner: while a record holds it, no other incarnation
// dispatches a request with the key, so no instance depends on the clock or the
// lease of another. The owner removes the entry of a request that did not run,
// and a rotation of a record drops only entries older than Config.Window. The
// claim of a key that an instance minted needs no entry.
package claim
