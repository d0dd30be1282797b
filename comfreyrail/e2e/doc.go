// Package e2e contains end-to-end tests that run several instances, each a comfreyrail process, against stand-ins.
package e2e
