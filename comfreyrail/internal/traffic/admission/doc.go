// Package admission holds the requests of one instance until they may run.
package admission
