// Package relay passes plain requests to plain services, each at most once.
package relay
