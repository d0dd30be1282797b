// Package usage exchanges datagrams between instances about the work that each one has at each engine, and adds up the work
// of the other instances.
//
// Each instance sends to a few others at a time, so that its cost does not grow with the fleet. Received reports are scaled
// up to all instances that the store lists. A lost datagram only makes an estimate older.
package usage
