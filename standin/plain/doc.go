// Plain is a stand-in for a plain HTTP service. It counts how often each call has run, so that repeated calls can be
// detected.
package main
