// Package settings reads and validates the settings files of a process, which are written in TOML.
package settings
