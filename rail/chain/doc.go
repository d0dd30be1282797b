// Package chain chooses the chain of engines that runs a request in router mode (command run), in which instances use the
// operators' tables. Package pipeline does the same in gateway mode (command gateway).
//
// Each engine holds a range of the layers of a model and runs a stage of a chain; the stages of a chain together cover
// every layer once. A Picker chooses chains of low expected time for each token.
package chain
