// Package route holds the configuration of the gateway mode (command gateway), which is read from the platform's store and
// watched for changes: routes by host and path, the services that they send requests to, and the workspaces whose keys give
// access to them. Package table defines the configuration of the router mode (command run): the tables that operators edit.
//
// An Index finds a host, a key or a service in constant time. Match then compares the path with the prefixes of the host's
// routes, the longest first.
package route
