// Railload sends requests to comfreyrail at a given rate and reports the results that the callers got. It also runs
// experiments that compare load-dependent decisions with their baselines in virtual time.
package main
