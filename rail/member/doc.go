// Package member defines the record of an instance in the shared list of members, assigns roles to members by rendezvous
// hashing, and selects heartbeat partners as successors on hash rings.
package member
