// Package fakemodel is a deterministic model: stand-in engines run it, and
// tests compute from it the only right answer to a prompt.
package fakemodel
