// Package membership registers this incarnation in the platform's store and
// exchanges heartbeats with other instances.
//
// It is for the router mode (command run); in gateway mode (command gateway)
// placer.LeaseKeeper registers the instance, and there are no heartbeats.
package membership
