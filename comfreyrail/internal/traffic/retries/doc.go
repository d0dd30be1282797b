// Package retries holds the retry budget of each pool at one instance.
//
// It is for the router mode (command run); forward.Budgets does the same for the
// services in gateway mode (command gateway).
package retries
