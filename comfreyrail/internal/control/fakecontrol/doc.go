// Package fakecontrol brings tables into force for tests that have no platform's
// service.
package fakecontrol
