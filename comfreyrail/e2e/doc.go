// Package e2e holds tests with several processes of comfreyrail.
package e2e
