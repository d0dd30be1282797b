// Package soak runs instances as separate processes with stand-ins for the platform, and checks what callers and backend
// servers receive while links, processes, servers and the store fail.
package soak
