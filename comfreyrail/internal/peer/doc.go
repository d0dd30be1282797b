// Package peer carries typed calls between instances over QUIC.
//
// Both ends show a certificate for a key that their incarnation made at its
// start, and both check it against the fingerprint in the other's record.
package peer
