// Package controltest puts tables in force in tests that run without the
// platform's store.
package controltest
