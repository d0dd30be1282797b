// Package retry decides whether a failed request may be sent again, and which backend servers are left alone meanwhile.
//
// It knows nothing about what a failed request may have done: whether a repeat is harmless is for the caller to decide.
package retry
