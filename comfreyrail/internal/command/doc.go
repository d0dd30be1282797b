// Package command is the command line of comfreyrail.
package command
