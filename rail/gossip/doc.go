// Package gossip decides whom an instance sends heartbeats to, which members
// are alive, and what each heartbeat carries.
//
// Each instance exchanges heartbeats with a few partners, so that its cost does
// not grow with the fleet. A partner that fails becomes suspect, the suspicion
// spreads with the heartbeats, and a member that does not refute it in time is
// dead. Node holds no goroutine, socket or clock.
package gossip
