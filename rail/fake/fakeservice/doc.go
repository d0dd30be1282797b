// Package fakeservice implements a stand-in for a plain service whose calls must
// not be repeated. It counts how often each call has run.
package fakeservice
