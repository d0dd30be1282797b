// Package command implements the command line of railload.
package command
