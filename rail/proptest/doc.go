// Package proptest runs property tests with a seed that is fixed by default,
// and prints counts of what each test did.
package proptest
