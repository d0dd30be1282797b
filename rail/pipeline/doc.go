// Package pipeline chooses the engines that a request passes through.
//
// A Chooser keeps what this instance knows of each engine: the work it sent there, the memory that work takes, and
// whether the engine failed or stalled lately. A path is the cheapest way over the layers, where an engine costs what the
// request makes it do, stretched by the part of its time and memory that is taken.
package pipeline
