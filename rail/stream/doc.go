// Package stream decides which frames of a streamed answer reach the caller.
package stream
