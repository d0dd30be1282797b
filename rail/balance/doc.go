// Package balance chooses the plain backend server for a request.
package balance
