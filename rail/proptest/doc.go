// Package proptest runs randomised checks of the decision packages with a fixed
// seed and reports what each run did.
package proptest
