// Plain is a stand-in for a plain HTTP service whose calls must not be repeated. It counts how often each call has run, so that
// repeated calls can be detected.
package main
