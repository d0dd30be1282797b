// Package entry is the HTTP interface for callers.
package entry
