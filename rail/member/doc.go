// Package member defines the record of an instance that all instances share, and assigns roles and heartbeat partners to
// instances by rendezvous hashing.
package member
