// Package usage tells other instances by datagrams how much work this one has at each engine, and adds up what they tell.
//
// Each instance tells a few others at a time, so that its cost does not grow with the fleet; what is heard is scaled to
// all instances that the store lists. A lost datagram only makes an estimate older.
package usage
