// Package edit decides how an operator's edit becomes an accepted generation in
// the platform's service, and which stored chunks may be deleted.
package edit
