// Package admin implements the admin interface over HTTP: edits of the tables, the state of the fleet, and metrics.
//
// It is for the router mode (command run); OperatorServer of package gateway/process serves readiness, metrics and state in
// gateway mode (command gateway).
package admin
