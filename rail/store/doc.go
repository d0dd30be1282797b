// Package store defines the types of the platform's store as the gateway mode (command gateway) uses it, a key-value store with
// revisions, watches, leases and conditional writes, and the errors that code must distinguish. Package kv is the client of the
// platform's store that the router mode (command run) uses.
package store
