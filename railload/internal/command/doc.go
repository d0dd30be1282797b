// Package command is the command line of railload.
package command
