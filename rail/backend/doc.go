// Package backend describes backend servers and the model engines among them: where they are, which layers they hold,
// and what their work costs.
package backend
