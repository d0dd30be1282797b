// Package store holds the types of a key-value store with revisions, watches, leases and conditional writes, and the
// outcomes that its callers must tell apart.
package store
