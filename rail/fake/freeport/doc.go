// Package freeport finds loopback ports that nothing else takes before a test
// listens on them.
package freeport
