// Platform is a stand-in for the platform's store and its list of instances and backend servers, both in memory.
package main
