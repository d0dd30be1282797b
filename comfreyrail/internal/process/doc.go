// Package process assembles the components of an instance and runs them in a supervisor tree.
package process
