// Package peer carries typed calls between instances over QUIC.
//
// Both ends present a self-signed certificate for a key that their incarnation
// generated when it started. Each end compares the certificate with the
// fingerprint in the record of the other instance.
//
// An instance is a guest if its record cannot be resolved and its certificate
// proves that it has the secret of the fleet. The record cannot be resolved if
// there is none yet, if it has another fingerprint or if it cannot be read.
// Guests may make only the calls registered with HandleGuests.
//
// It is for the router mode (command run); packages gateway/mirror and gateway/usage
// communicate with other instances in gateway mode (command gateway).
package peer
