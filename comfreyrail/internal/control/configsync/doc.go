// Package configsync fetches the accepted tables from the platform's store and
// from peers for the control goroutine, and writes operators' edits to the store.
package configsync
