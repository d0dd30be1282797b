// Package balance chooses the backend server for a request to a service without engines, by load and availability zone.
package balance
