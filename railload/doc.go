// Railload sends requests to comfreyrail at a stated rate and reports what the
// callers saw.
package main
