// Package command implements the command line of comfreyctl, which calls the administration interface of one instance.
package command
