// Package stream decides about a streamed answer: which frames reach the
// caller, when the connection or a stage has failed, and how to go on.
package stream
