// Package fakeengine is a stand-in for a model engine that holds a range of
// layers and batches continuously.
package fakeengine
