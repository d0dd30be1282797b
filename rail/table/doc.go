// Package table defines the configuration that operators edit, which consists of a
// table of routes and a table of pools. It validates and applies edits, and encodes
// each generation of the tables as content-addressed chunks. It is for the router
// mode (command run); package route defines the configuration of the gateway mode
// (command gateway).
package table
