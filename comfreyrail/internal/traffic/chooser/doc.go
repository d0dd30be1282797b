// Package chooser selects chains of model engines, or single backend servers of
// plain pools, for the requests of one instance.
//
// It is for the router mode (command run); package gateway/forward selects chains
// and servers in gateway mode (command gateway).
package chooser
