// Package experiment measures decisions under load against their baselines, in virtual time.
package experiment
