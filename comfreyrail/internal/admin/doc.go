// Package admin is the HTTP interface for operators.
package admin
