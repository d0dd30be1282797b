// Package event holds what instances log of requests, engines and backend servers, so that whoever writes a line and whoever
// reads it share its message and its fields. Times in fields are in milliseconds.
package event
