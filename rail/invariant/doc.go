// Package invariant asserts, inside the running program, what must always hold.
package invariant
