// Package notice keeps what backend servers say of themselves in their responses: that they are leaving, and for how long they
// want no requests.
package notice
