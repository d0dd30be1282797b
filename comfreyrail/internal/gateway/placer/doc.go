// Package placer keeps this instance listed in the store and, while this instance is the placer, assigns layers to model
// engines.
//
// The instances elect one placer, as in leader election: the instance that has stored the item with the key
// catalog.PlacerKey under a lease of its own. That lease is short and renewed by the placer alone; the lease under which each
// instance is listed is longer, since renewals cost calls to the store. The placer stores no assignment: the engines'
// entries show which layers they hold, so that a new placer can continue. It gives layers to engines that hold none, and
// moves one engine at a time to layers that have become scarce. Each order carries the number of orders that the engine had
// accepted, so that a late or duplicate order has no effect.
package placer
