// Package health decides whether backend servers answer, and when to ask each
// for its status.
package health
