// Package membership registers this incarnation with the platform's service and
// exchanges heartbeats with other instances.
package membership
