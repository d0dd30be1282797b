// Package route holds the configuration that is read from a watched source: routes by host and path, the services that
// they send requests to, and the workspaces whose keys give access to them.
//
// A Table finds a host, a key or a service in constant time. Match then compares the path with the prefixes of the host's
// routes, the longest first.
package route
