// Package experiment compares load-dependent decisions with baseline policies by simulation in virtual time.
//
// The experiments cover the choice of chains, admission, retries and prefix affinity. Each case is simulated with several
// seeds.
package experiment
