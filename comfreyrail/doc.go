// Comfreyrail routes requests from callers to chains of model engines and to
// plain services; operators steer it with comfreyctl.
package main
