// Package stream controls streamed answers. It decides which frames of the
// engines reach the caller, when the connection or a stage has failed, and how
// to continue the answer after a failure. It makes no calls itself: a Session
// takes Events and returns Actions.
package stream
