// Package store defines the types of the platform's store, a key-value store with revisions, watches, leases and
// conditional writes, and the errors that its callers must distinguish.
package store
