// Package header separates the end-to-end headers of an HTTP message from its hop-by-hop headers.
package header
