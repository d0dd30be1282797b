// Package command implements the command line of comfreyrail.
//
// Command run starts an instance in router mode, and command gateway one in gateway mode.
package command
