// Package admit implements admission control for the requests of one pool.
//
// A Gate decides which requests run now, which wait in a queue and which are refused. It limits the number of requests
// in progress, serves the queue by priority and shares slot time fairly among the workspaces. Slot time is the sum of the
// times that the requests of a workspace have been in progress.
package admit
