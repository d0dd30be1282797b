// Package command is the command line of comfreyctl.
package command
