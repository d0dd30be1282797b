// Package route holds the configuration of a watched source: routes by host and path, the services they lead to, and
// the workspaces whose keys open them.
//
// A Table answers in constant time for a host and a key, and in the length of the path for a prefix.
package route
