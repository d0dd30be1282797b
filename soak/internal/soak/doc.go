// Package soak runs gateways as separate processes beside stand-ins of the platform, and checks what callers and backend
// servers see while links, processes, servers and the store fail.
package soak
