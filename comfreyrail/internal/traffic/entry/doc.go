// Package entry implements the HTTP interface for callers.
package entry
