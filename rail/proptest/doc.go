// Package proptest runs property tests of the packages that make decisions,
// with a fixed seed, and prints counts of what each run did.
package proptest
