// Package supervised names the services of a supervisor tree.
//
// The supervisor's events contain a service's whole value, with secrets and keys, unless the service has a name.
package supervised
