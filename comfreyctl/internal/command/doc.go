// Package command implements the command line of comfreyctl, which calls the admin interface of one instance.
package command
