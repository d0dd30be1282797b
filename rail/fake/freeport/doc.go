// Package freeport finds loopback ports that no other process takes before a test
// listens on them.
package freeport
