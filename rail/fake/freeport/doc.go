// Package freeport finds loopback ports that are free at the time of the call, outside
// the range from which operating systems choose ports.
package freeport
