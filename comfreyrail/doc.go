// Comfreyrail routes requests from callers to chains of model engines and to
// plain services; operators configure it with comfreyctl.
package main
