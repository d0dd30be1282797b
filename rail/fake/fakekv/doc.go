// Package fakekv implements a stand-in for the platform's key-value service
// and its delayed list of instances, with faults that can be switched on.
package fakekv
