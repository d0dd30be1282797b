// Package duty holds this instance's lease in the store and, while it is the placer, gives model engines their layers.
//
// The placer is whoever holds an item under its lease. What the engines hold is the plan: a new placer takes it as it is
// and fills only engines that hold nothing. Each order names the number of orders that the engine has accepted, so that an
// order that comes late or twice changes nothing.
package duty
