// Package link joins the parts of the control state that speak to other
// instances: configuration passes from peer to peer by the calls of this package.
package link
