// Package configsync brings accepted configuration from the platform's service
// and from peers to the control goroutine, and operators' edits to the service.
package configsync
