// Package peer carries typed calls between instances over QUIC.
//
// Both ends present a self-signed certificate for a key that their incarnation
// generated when it started. Each end compares the certificate with the
// fingerprint in the record of the other instance.
//
// An instance that has no record yet, or whose record cannot be read, is a
// guest if its certificate proves that it has the secret of the fleet. Guests
// may make only the calls registered with HandleGuests.
//
// It is for the router mode (command run); packages gateway/mirror and gateway/usage
// communicate with other instances in gateway mode (command gateway).
package peer
