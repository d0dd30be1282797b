// Package gossip implements the membership protocol of the instances: it
// selects the members to which an instance sends heartbeats, builds the
// heartbeats and detects failed members.
//
// Each instance exchanges heartbeats with a few partners, so that the number of
// its heartbeats does not grow with the fleet. A partner that does not respond
// to three consecutive heartbeats is suspected, the suspicion spreads with the
// heartbeats, and a member that does not refute it in time is considered dead.
// Node starts no goroutine, opens no socket and reads no clock: its caller
// passes the time and sends the messages.
package gossip
