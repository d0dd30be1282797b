// Package health decides whether backend servers are healthy, and schedules the probes of them.
package health
