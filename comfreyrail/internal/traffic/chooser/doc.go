// Package chooser selects chains of model engines, or single backend servers of
// plain pools, for the requests of one instance.
package chooser
