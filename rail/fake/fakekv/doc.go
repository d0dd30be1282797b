// Package fakekv implements a stand-in for the platform's store and its list of instances and backend servers, which lags
// behind their actual state, with faults that can be switched on.
package fakekv
