// Package chooser chooses chains of backend servers for the requests of one instance.
package chooser
