package edit

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Step is one call or wait, answered by one Answer.
type Step interface{ step() }

// ReadHead asks for the head record.
type ReadHead struct{}

// ReadChunk asks for the record of a chunk.
type ReadChunk struct {
	// Hash names the chunk.
	Hash table.Hash
}

// WriteChunk asks to write the record of a chunk.
type WriteChunk struct {
	// Chunk is the content under its hash.
	Chunk table.Chunk
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64
}

// WriteHead asks to write the head record.
type WriteHead struct {
	// Content is the encoded head.
	Content []byte
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64
}

// ListChunks asks for the records of all chunks.
type ListChunks struct{}

// DeleteChunk asks to delete the record of a chunk.
type DeleteChunk struct {
	// Hash names the chunk.
	Hash table.Hash
	// Expect is the version that the record must have.
	Expect uint64
}

// Wait asks to let time pass.
type Wait struct {
	// For is the time.
	For time.Duration
}

// Finish tells that there are no more steps.
type Finish struct {
	// Result is what became of the edit.
	Result Result
}

func (ReadHead) step()    {}
func (ReadChunk) step()   {}
func (WriteChunk) step()  {}
func (WriteHead) step()   {}
func (ListChunks) step()  {}
func (DeleteChunk) step() {}
func (Wait) step()        {}
func (Finish) step()      {}

// StoredChunk is the record of a chunk without its content.
type StoredChunk struct {
	// Hash names the chunk.
	Hash table.Hash
	// Version is the version of the record.
	Version uint64
}

// Answer is the end of a step; the error is one of package kv, any other leaves the effect of a write unknown.
type Answer struct {
	// Content is the content that was read.
	Content []byte
	// Version is the version of the record that was read.
	Version uint64
	// Listed holds what ListChunks found.
	Listed []StoredChunk
	// Err tells that the step failed.
	Err error
}

// State says what became of an edit.
type State string

const (
	// Accepted means that the edit is in force from a generation on, for ever unless a later edit changes its rows.
	Accepted State = "accepted"
	// Conflict means that the edit was not accepted because others changed its rows.
	Conflict State = "conflict"
	// Refused means that the edit was not accepted because the tables would be invalid.
	Refused State = "refused"
	// NotAccepted means that the edit was not accepted and never will be.
	NotAccepted State = "notaccepted"
	// Absent means that the edit is not among the newest ones, though a write of it may still be under way.
	Absent State = "absent"
	// Valid means that the edit would have been accepted, but was only to be checked.
	Valid State = "valid"
	// Unknown means that the service did not tell whether the edit was accepted.
	Unknown State = "unknown"
)

// Result is what became of an edit.
type Result struct {
	// ID is the id of the edit.
	ID string `json:"id"`
	// State says what became of the edit.
	State State `json:"state"`
	// Generation is the generation that holds the edit, if it was accepted.
	Generation uint64 `json:"generation,omitempty"`
	// Rows lists the rows that others changed.
	Rows []table.RowConflict `json:"rows,omitempty"`
	// Problems lists the faults of a refused edit.
	Problems []table.Problem `json:"problems,omitempty"`
	// Message says why, and what to do next.
	Message string `json:"message,omitempty"`
}
