// Package process assembles the components of an instance and runs them in a supervisor tree.
//
// It is for the router mode (command run); package gateway/process does the same in gateway mode (command gateway).
package process
