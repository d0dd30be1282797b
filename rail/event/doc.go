// Package event defines the messages and fields of the log lines that instances write about requests, engines and backend
// servers, for the code that writes the lines and the code that parses them. Durations in fields are in milliseconds.
package event
