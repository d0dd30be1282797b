// Package process assembles a gateway from its settings and runs it as a supervisor tree.
package process
