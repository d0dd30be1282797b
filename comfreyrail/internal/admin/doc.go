// Package admin implements the HTTP interface for operators: edits of the tables, the state of the fleet, and metrics.
package admin
