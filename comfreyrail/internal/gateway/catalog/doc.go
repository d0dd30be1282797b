// Package catalog keeps what the store says: the configuration, the backend servers and the instances of the fleet.
//
// One goroutine reads and watches the store and publishes snapshots that are never changed.
package catalog
