// Package retry provides retry budgets, exponential backoff and circuit breakers for requests to backend servers.
//
// A Budget limits the retries of one pool by its successes and by time. A WindowBudget limits the retries to one service
// in any period by the requests for it, plus a burst that all instances share. In gateway mode (command gateway), whose
// configuration groups backend servers into services, a WindowBudget is used; in router mode (command run), whose tables
// group them into pools, a Budget.
//
// Breakers opens the circuit breaker of a server after five failures in a row. The server then gets no requests for some
// time. After that the breaker is half-open: the server gets one request at a time, a trial, until two have succeeded
// and the breaker closes.
//
// The package does not check whether a retry is safe: the code that uses it must determine whether a failed request may
// have been executed.
package retry
