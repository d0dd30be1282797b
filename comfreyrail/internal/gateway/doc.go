// Package gateway contains the packages of the gateway process, which routes requests by host and path to backend servers.
//
// The routes come from a configuration that the gateway watches in the platform's store.
package gateway
