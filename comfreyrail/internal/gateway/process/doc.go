// Package process builds a gateway from its settings and runs its components in a supervisor tree.
package process
