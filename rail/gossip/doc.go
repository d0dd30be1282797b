// Package gossip implements the membership protocol of the instances: it
// selects the members to which an instance sends heartbeats, detects failed
// members and fills each heartbeat.
//
// Each instance exchanges heartbeats with a few partners, so that its cost does
// not grow with the fleet. A partner that fails to reply is suspected, the
// suspicion spreads with the heartbeats, and a member that does not refute it
// in time is dead. Node starts no goroutine, opens no socket and reads no
// clock: its caller passes the time and sends the messages.
package gossip
