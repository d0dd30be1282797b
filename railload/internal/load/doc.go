// Package load sends requests to comfreyrail at a given rate, checks the answers and measures their latency.
//
// It distributes the requests over the instances as the platform's load balancer does. Arrivals do not wait for earlier
// answers, and latency is measured from the intended arrival, so that a slow answer does not hide the delay of later
// requests.
package load
