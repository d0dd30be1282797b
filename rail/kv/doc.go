// Package kv is the client of the platform's key-value service.
package kv
