package store

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Item is one key with its value.
type Item struct {
	// Key is the name of the item.
	Key string
	// Value is the content.
	Value []byte
	// Revision is the revision of the last change.
	Revision uint64
	// Lease is the lease that the item belongs to, zero for none.
	Lease uint64
	// Deleted tells that the change removed the item; it then has no value.
	Deleted bool
}

// Page is a part of the items under a prefix.
type Page struct {
	// Items lists the items in the order of their keys.
	Items []Item
	// More tells that further items follow after the last one.
	More bool
	// Revision is the revision of the store at the read.
	Revision uint64
}

// Changes lists what a watch has seen.
type Changes struct {
	// Items lists the changed items in order.
	Items []Item
	// Revision is where the next watch goes on.
	Revision uint64
}

// Condition is a revision that an item must have; zero means that it must not exist.
type Condition struct {
	// Key names the item.
	Key string
	// Revision is the wanted revision.
	Revision uint64
}

// Write is one write of a transaction.
type Write struct {
	// Key names the item.
	Key string
	// Value is the new content.
	Value []byte
	// Lease is the lease that the item belongs to, zero for none.
	Lease uint64
}

// Transaction changes several items or none.
type Transaction struct {
	// Conditions must all hold.
	Conditions []Condition
	// Writes lists the items to write.
	Writes []Write
	// Deletes lists the keys to remove.
	Deletes []string
}

// Lease is a lease as the store grants it.
type Lease struct {
	// ID identifies the lease.
	ID uint64
	// TTL is the time after which it ends unless it is renewed.
	TTL time.Duration
}

// Errors of the store that say that nothing was changed; any other error leaves the effect of a write unknown.
const (
	// ErrConflict means that a condition did not hold.
	ErrConflict = errors.ConstError("condition does not hold")
	// ErrNotFound means that the item or lease does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrCompacted means that the history after the revision is no longer kept.
	ErrCompacted = errors.ConstError("history is no longer available")
	// ErrThrottled means that the store refused the call for its rate.
	ErrThrottled = errors.ConstError("call rate exceeded")
	// ErrUnavailable means that the store refused the call and did nothing.
	ErrUnavailable = errors.ConstError("store is unavailable")
)

// StatusError is an answer with a status that the store should not give.
type StatusError struct {
	// Status is the status of the answer.
	Status int
}

// Error names the status.
func (e *StatusError) Error() string { return fmt.Sprintf("store answered with status %d", e.Status) }
