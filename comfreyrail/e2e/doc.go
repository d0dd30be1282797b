// Package e2e contains end-to-end tests that run several comfreyrail processes against stand-ins.
package e2e
