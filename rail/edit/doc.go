// Package edit implements the protocol by which an operator's edit becomes an
// accepted generation in the platform's store (package kv), and the deletion of
// stored chunks that are no longer referenced.
//
// Its types are state machines without I/O: the caller carries out each Step and
// passes the store's response to the next call.
package edit
