// Package configsync brings accepted configuration from the platform's service
// to the control goroutine, and operators' edits to the service.
package configsync
