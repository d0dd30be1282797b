// Package fakeplatform is a stand-in for the platform's key-value service and
// its lagging list of instances, with faults on request.
package fakeplatform
