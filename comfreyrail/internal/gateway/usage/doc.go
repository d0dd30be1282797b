// Package usage exchanges datagrams between instances about their usage of the engines and of the links between
// availability zones, and estimates the usage of all other instances.
//
// Each instance sends to a few others at a time, so that its cost does not grow with the number of instances. Received
// reports are scaled up to all instances that the store lists. A lost datagram only makes an estimate older.
//
// Instances may also announce something to each other at once. An announcement goes to a limited number of instances and may
// be lost.
package usage
