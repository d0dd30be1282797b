// Package retry provides retry budgets, exponential backoff and circuit breakers for requests to backend servers.
//
// It does not check whether a retry is safe: the caller decides whether a failed request may have been executed.
package retry
