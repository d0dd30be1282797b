// Package gateway is the part of the program that routes by host and path with a configuration watched in a store.
package gateway
