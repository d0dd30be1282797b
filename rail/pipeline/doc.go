// Package pipeline chooses the chain of engines that runs a request of the gateway, which shares its usage of engines with
// other instances. Package chain does the same for the instances that use the operators' tables.
//
// A Chooser records the state of each engine: the work that this instance sent to it, the memory reserved for that work,
// and whether the engine failed recently or is slow. It chooses the chain with the lowest cost over all layers. The cost
// of an engine is the time that the request takes there, and grows with the engine's utilization and filled memory.
package pipeline
