// Package placement decides which layers of a model each engine holds.
//
// An engine holds whole blocks of layers, so that the layers of a failed engine fit on others, and leaves part of its
// memory for the KV cache of requests. An engine without layers is assigned the blocks for which the fleet and its
// availability zone have the least capacity; engines that hold layers keep them.
package placement
