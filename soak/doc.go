// Command soak runs gateways as processes on one machine, injects faults from outside them, and checks the promises that
// callers and servers rely on.
package main
