// Package catalog keeps a copy of the store's content: the configuration, the backend servers and the live instances.
//
// One goroutine reads and watches the store and publishes immutable snapshots. To limit the load on the store, normally only
// a few instances of each availability zone read it; the others fetch the changes from these.
//
// It is for the gateway mode (command gateway); packages control and control/configsync do the same in router mode
// (command run).
package catalog
