// Package settings reads and checks the settings of a process.
package settings
