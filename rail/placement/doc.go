// Package placement decides which layers of a model each engine holds.
//
// Engines take whole blocks of layers, so that the part of a failed engine fits others, and leave a share of their
// memory for the KV cache of requests. An engine that holds nothing takes the blocks that its availability zone and the
// fleet can serve least; engines that hold layers keep them.
package placement
