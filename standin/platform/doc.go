// Platform is a stand-in for the platform: its key-value service and its list of
// instances, both in memory.
package main
