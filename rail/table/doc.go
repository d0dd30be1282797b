// Package table defines the configuration that operators edit, which consists of a
// table of routes and a table of pools. It validates and applies edits, and encodes
// each generation of the tables as content-addressed chunks.
package table
