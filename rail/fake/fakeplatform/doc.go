// Package fakeplatform implements a stand-in for the platform's key-value service
// and its delayed list of instances, with faults that can be switched on.
//
// Package platform/fakeplatform is a different one: it stands in for the store and the
// backend servers.
package fakeplatform
