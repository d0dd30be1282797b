// Package logs limits the rate of structured log lines and writes them without blocking the goroutine that logs.
package logs
