// Package health decides whether backend servers are healthy, and schedules the status calls to them.
package health
