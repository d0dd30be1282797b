// Package fakeengine implements a stand-in for a model engine that holds a range
// of layers and batches activations continuously.
package fakeengine
