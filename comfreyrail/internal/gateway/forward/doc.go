// Package forward takes requests from callers and passes them on to backend servers.
//
// A request goes to as many servers as its route allows, and to a second one only if it may run twice or the first one
// surely did not run it. A refusal with a status that promises so is given only while that is sure.
package forward
