// Package link connects configsync and membership to the peer transport, and
// makes and serves the calls by which instances exchange configuration.
package link
