// Soak runs instances as processes on one machine, injects faults from outside them, and checks the guarantees that they give
// to callers and backend servers.
package main
