// Package store defines the types and errors of the store that the gateway mode (command gateway) uses, a key-value store with
// revisions, watches, leases and conditional writes. The router mode (command run) uses the platform's store, whose client is
// package kv.
package store
