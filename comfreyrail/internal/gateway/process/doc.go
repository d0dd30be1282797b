// Package process builds a gateway from its settings and runs its services in a supervisor tree.
package process
