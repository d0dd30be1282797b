// Package fakemodel implements a deterministic model. Stand-in engines run it, and
// tests compute the only correct answer to a prompt with it.
package fakemodel
