// Platform is a stand-in for the platform's key-value service and its list of
// instances; it keeps everything in memory.
package main
