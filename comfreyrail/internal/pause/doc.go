// Package pause provides waits between the iterations of a loop.
package pause
