// Package admit implements admission control for the requests of one pool.
//
// A Controller decides which requests run now, which wait in a queue and which are refused. It limits the number of requests
// in progress, serves the queue by priority and shares slot time fairly among the workspaces. Slot time is the sum of the
// times that the requests of a workspace have been in progress.
//
// Waiting requests of the highest priority run first, and among these the request of the workspace that has used the
// least slot time. One grant in 16 is reserved for the priorities with waiting requests, in rotation, so that no
// priority is passed over by more than 160 grants. The slot time that counts against a workspace is capped at 10 seconds
// above the minimum of the active workspaces, see maxExcessSeconds, so that within a priority its earlier use lets each
// other workspace pass it over for only about 10 seconds of slot time.
package admit
