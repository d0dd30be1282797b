// Package backend describes backend servers and the engines among them: their addresses and availability zones, the layers
// that engines hold, and the time and memory that their work takes.
package backend
