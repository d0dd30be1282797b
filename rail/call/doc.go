// Package call holds what travels with a request and its answer beside method, path and body.
package call
