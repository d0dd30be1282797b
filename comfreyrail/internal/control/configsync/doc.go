// Package configsync fetches the accepted tables from the platform's store and
// from peers for the control goroutine, and writes operators' edits to the store.
//
// It is for the router mode (command run); packages gateway/catalog and gateway/mirror
// fetch the configuration in gateway mode (command gateway).
package configsync
