// Package freeport finds loopback ports that are free at the time of the call. They lie outside the ephemeral port range, from
// which operating systems choose ports, so that the system gives them to no other socket before the caller listens on them.
package freeport
