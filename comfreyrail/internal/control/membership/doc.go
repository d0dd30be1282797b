// Package membership registers this incarnation in the platform's store and
// exchanges heartbeats with other instances.
package membership
