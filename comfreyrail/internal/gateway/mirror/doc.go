// Package mirror serves changes of the store to other instances and fetches them, so that only a few instances read the
// store.
//
// An instance requests the changes after a revision. The response carries their age, determined before it is sent, so the
// requester obtains an upper bound of their present age by adding the time since it sent the request.
package mirror
