// Package process builds a gateway from its settings and runs its components in a supervisor tree.
//
// It is for the gateway mode (command gateway); package internal/process does the same in router mode (command run).
package process
