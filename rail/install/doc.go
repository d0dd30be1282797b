// Package install decides which generation of the tables an instance puts in
// force, where it fetches its content from, and whether the instance is ready.
package install
