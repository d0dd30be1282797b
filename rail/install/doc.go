// Package install decides which generation of the tables an instance puts in
// force, from which sources it fetches the content, and whether the instance is
// ready.
//
// An Installer is a state machine without I/O: the caller passes events to it and
// carries out the actions that it returns.
package install
