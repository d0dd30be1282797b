// Package limittest measures in tests how much memory requests to hostile servers take.
package limittest
