// Package chain chooses the backend servers that carry a request.
package chain
