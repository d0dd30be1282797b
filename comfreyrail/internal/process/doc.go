// Package process builds the supervisor tree of a process.
package process
