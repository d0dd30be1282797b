// Package logs writes structured log lines within a budget and without ever holding up whoever logs.
package logs
