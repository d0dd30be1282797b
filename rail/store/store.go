package store

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Item is a key with its value, or a change of it.
type Item struct {
	// Key identifies the item.
	Key string
	// Value is the content of the item.
	Value []byte
	// Revision is the revision of the store at the last change of the item.
	Revision uint64
	// Lease is the lease that the item belongs to, zero for none.
	Lease uint64
	// Deleted reports whether the change deleted the item, which then has no value.
	Deleted bool
	// Malformed says why the item could not be read from the response, empty if it could. A malformed item has no value, and its key
	// may be empty.
	Malformed string `cbor:",omitempty"`
}

// Page is a part of the items whose keys have a prefix.
type Page struct {
	// Items lists the items in the order of their keys.
	Items []Item
	// More reports whether further items follow the last one.
	More bool
	// Revision is the revision of the store at the read.
	Revision uint64
	// Era is the era of the store at the read, zero if unknown. It grows whenever the store is restored from a copy; revisions
	// and leases of different eras must not be compared.
	Era uint64
}

// Changes is the result of a watch.
type Changes struct {
	// Items lists the changed items in the order of the changes.
	Items []Item
	// Revision is the revision up to which Items is complete; the next watch takes it as its argument after.
	Revision uint64
	// Era is the era that the store stated in its response, zero if unknown.
	Era uint64
}

// Condition is the revision that an item must have for a transaction to be carried out.
type Condition struct {
	// Key identifies the item.
	Key string
	// Revision is the expected revision; zero means that the item must not exist.
	Revision uint64
}

// Write is one write of a transaction.
type Write struct {
	// Key identifies the item.
	Key string
	// Value is the new content.
	Value []byte
	// Lease is the lease that the item belongs to, zero for none.
	Lease uint64
}

// Transaction is a set of changes that are made together if all conditions hold, and not at all otherwise.
type Transaction struct {
	// Conditions lists the conditions, which must all hold.
	Conditions []Condition
	// Writes lists the items to write.
	Writes []Write
	// Deletes lists the keys of the items to delete.
	Deletes []string
}

// Lease is a lease that the store has granted.
type Lease struct {
	// ID identifies the lease.
	ID uint64
	// TTL is the time after which the lease ends unless it is renewed.
	TTL time.Duration
	// Era is the era of the store in which it was granted, zero if unknown.
	Era uint64
}

// IsOutdated reports whether the lease was granted before the store was restored into the era. A lease of an unknown era is not.
func (l Lease) IsOutdated(era uint64) bool { return l.Era != 0 && l.Era < era }

// SameEra reports whether the era that a response of the store states is the known one. A response that states none has the era
// zero and counts as one of the known era.
func SameEra(stated, known uint64) bool { return stated == 0 || stated == known }

// Errors of the store after which nothing was changed; after any other error, such as a StatusError, the effect of a
// write is unknown.
const (
	// ErrConflict is the error if a condition of a transaction did not hold.
	ErrConflict = errors.ConstError("condition does not hold")
	// ErrNotFound is the error if the item or lease does not exist.
	ErrNotFound = errors.ConstError("not found")
	// ErrCompacted is the error if the store no longer keeps the history after the revision of a watch.
	ErrCompacted = errors.ConstError("history is no longer available")
	// ErrThrottled is the error if the store refused the call because of the call rate.
	ErrThrottled = errors.ConstError("call rate exceeded")
	// ErrUnavailable is the error if the store refused the call because it is unavailable.
	ErrUnavailable = errors.ConstError("store is unavailable")
)

// ErrRestored is the error if the store was restored from a copy after it stated the revision, or granted the lease, that a call
// uses. A transaction may have been executed nevertheless.
const ErrRestored = errors.ConstError("the store was restored from a copy")

// StatusError is the error for a response of the store with an unexpected status.
type StatusError struct {
	// Status is the HTTP status code of the response.
	Status int
}

// Error implements the error interface.
func (e *StatusError) Error() string { return fmt.Sprintf("store responded with status %d", e.Status) }
