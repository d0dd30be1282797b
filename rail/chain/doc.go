// Package chain chooses the chain of engines that runs a request of the instances that use the operators' tables. Package
// pipeline does the same for the gateway.
//
// Each engine holds a range of the layers of a model and runs a stage of a chain; the stages of a chain together cover
// every layer once. A Picker chooses chains of low expected time for each token.
package chain
