// Package pipeline chooses the chain of engines that runs a request in gateway mode (command gateway), in which instances
// share their usage of engines. Package chain does the same in router mode (command run).
//
// A Chooser records the state of each engine: the work that this instance sent to it, the memory reserved for that work,
// and whether the engine failed recently or is slow. It chooses the chain with the lowest cost over all layers. The cost
// of an engine is the time that the request takes there, and grows with the engine's utilization and filled memory.
package pipeline
