// Package fakekv implements a stand-in for the platform's key-value service and its lagging list of instances and backend
// servers, with faults that can be switched on.
package fakekv
