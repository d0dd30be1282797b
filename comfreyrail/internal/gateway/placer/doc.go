// Package placer keeps this instance's lease in the store and, while this instance is the placer, assigns layers to model
// engines.
//
// The instances elect one placer, as in leader election: the instance that has stored the item with the key
// catalog.PlacerKey under its lease. It stores no assignment: the engines' entries show which layers they hold, so that a
// new placer can continue, and it gives layers only to engines that hold none. Each order carries the number of orders that
// the engine had accepted, so that a late or duplicate order has no effect.
package placer
