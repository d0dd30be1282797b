// Package command implements the command line of comfreyrail.
package command
