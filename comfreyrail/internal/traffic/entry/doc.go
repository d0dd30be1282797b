// Package entry implements the HTTP server for callers. It serves completion
// requests, plain requests and requests for new idempotency keys.
package entry
