// Package catalog keeps a copy of the store's content: the configuration, the backend servers and the live instances.
//
// One goroutine reads and watches the store and publishes immutable snapshots. To limit the load on the store, only a few
// instances of each availability zone read it; the others fetch the changes from these.
package catalog
