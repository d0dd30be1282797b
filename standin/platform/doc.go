// Platform is a stand-in for the platform's key-value service and its list of
// instances. It keeps its data in memory.
package main
