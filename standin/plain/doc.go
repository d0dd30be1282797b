// Plain is a stand-in for a plain HTTP service whose calls must not be repeated.
package main
