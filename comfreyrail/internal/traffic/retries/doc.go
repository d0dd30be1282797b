// Package retries holds the retry budget of each pool at one instance.
//
// It is for the router mode (command run); in gateway mode (command gateway)
// forward.Budgets holds a retry.WindowBudget for each service.
package retries
