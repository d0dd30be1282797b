// Package fakeservice is a stand-in for a plain service whose calls may not be
// repeated; it counts every run.
package fakeservice
