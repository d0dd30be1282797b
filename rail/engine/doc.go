// Package engine defines the protocol between the router and the model engines,
// JSON over HTTP with streamed frames as one JSON object on each line.
package engine
