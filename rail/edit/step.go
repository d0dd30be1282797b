package edit

import (
	"time"

	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Step is a call to the platform's store, a wait, or the end of an attempt or a sweep. After each step except Finish, Next
// must be called once with the Response.
type Step interface{ step() }

// ReadHead is the step that reads the head record.
type ReadHead struct{}

// ReadChunk is the step that reads the record of a chunk.
type ReadChunk struct {
	// Hash identifies the chunk.
	Hash table.Hash
}

// WriteChunk is the step that writes the record of a chunk.
type WriteChunk struct {
	// Chunk is the content and its hash.
	Chunk table.Chunk
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64
}

// WriteHead is the step that writes the head record.
type WriteHead struct {
	// Content is the encoded head.
	Content []byte
	// Expect is the version that the record must have; zero means that it must not exist.
	Expect uint64
}

// ListChunks is the step that lists the records of all chunks.
type ListChunks struct{}

// DeleteChunk is the step that deletes the record of a chunk.
type DeleteChunk struct {
	// Hash identifies the chunk.
	Hash table.Hash
	// Expect is the version that the record must have.
	Expect uint64
}

// Wait is the step that waits before the next call of Next.
type Wait struct {
	// For is the duration of the wait.
	For time.Duration
}

// Finish is the last step.
type Finish struct {
	// Result is the outcome of the edit; a Sweeper leaves it empty.
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
	// Hash identifies the chunk.
	Hash table.Hash
	// Version is the version of the record.
	Version uint64
}

// Response is the store's response to a step.
type Response struct {
	// Content is the content that ReadHead or ReadChunk read.
	Content []byte
	// Version is the version of the record that was read.
	Version uint64
	// Listed holds the records that ListChunks found.
	Listed []StoredChunk
	// Err is the error of a failed step. A write that failed with an error other than those of package kv may still
	// take effect.
	Err error
}

// State is the state of an edit as reported to the operator.
type State string

const (
	// Accepted means that the edit is part of every generation from Result.Generation on, until a later edit changes its rows.
	Accepted State = "accepted"
	// Conflict means that the edit was not accepted because other edits changed its rows.
	Conflict State = "conflict"
	// Refused means that the edit was not accepted because it is malformed or would make the tables invalid.
	Refused State = "refused"
	// NotAccepted means that the edit was not accepted and that no write of it may still take effect. An edit that was withdrawn
	// is never accepted.
	NotAccepted State = "notaccepted"
	// Absent means that the edit is not in the history, which holds only the newest edits; a write of it may still be in progress.
	Absent State = "absent"
	// Valid means that the edit would have been accepted, but was submitted for validation only.
	Valid State = "valid"
	// Unknown means that the store did not confirm whether the edit was accepted.
	Unknown State = "unknown"
)

// IsFinal reports whether the state is final; Absent and Unknown may still change.
func (s State) IsFinal() bool { return s != Absent && s != Unknown }

// Result is the outcome of an edit.
type Result struct {
	// ID is the ID of the edit.
	ID string `json:"id"`
	// State is the state of the edit.
	State State `json:"state"`
	// Generation is the first generation that contains the edit, if it was accepted.
	Generation uint64 `json:"generation,omitempty"`
	// Rows lists the rows that other edits changed.
	Rows []table.RowConflict `json:"rows,omitempty"`
	// Problems lists the validation errors of a refused edit.
	Problems []table.Problem `json:"problems,omitempty"`
	// Message explains the state to the operator and suggests the next action.
	Message string `json:"message,omitempty"`
}
