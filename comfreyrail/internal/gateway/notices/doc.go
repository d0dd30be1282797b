// Package notices excludes backend servers that have said that they are leaving or want no requests for a while from the choice of
// a server.
package notices
