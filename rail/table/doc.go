// Package table holds the operators' two tables, routes and pools, and checks
// edits to them.
package table
