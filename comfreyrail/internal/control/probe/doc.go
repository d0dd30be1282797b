// Package probe asks the backend servers for their status.
package probe
