// Package invariant checks invariants in the running program, and counts and reports violations.
package invariant
