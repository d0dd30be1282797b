// Package graceful serves HTTP on a listener and stops it without cutting a
// request, as package stop decides.
package graceful
