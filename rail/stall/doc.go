// Package stall detects stalled streams. When a stream brings no frames or no
// tokens, it decides from a probe of the stages whether the stream is slow, the
// connection has failed or a stage has failed.
package stall
