// Package stall decides whether a connection, a stage or nothing has failed
// when a streamed answer falls silent.
package stall
