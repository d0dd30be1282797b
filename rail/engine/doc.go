// Package engine defines the protocol between instances and the model engines:
// JSON over HTTP, with the frames of a stream as one JSON object per line.
package engine
