package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// hashBytes is the length of a content hash.
const hashBytes = 16

// Hash is the truncated SHA-256 of encoded content, by which it is stored.
type Hash [hashBytes]byte

// HashOf returns the hash of encoded content.
func HashOf(content []byte) (hash Hash) {
	sum := sha256.Sum256(content)
	copy(hash[:], sum[:])
	return hash
}

// ParseHash reads a hash as String writes it.
func ParseHash(text string) (hash Hash, err error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != hashBytes {
		return Hash{}, fmt.Errorf("%q is not a content hash", text)
	}
	copy(hash[:], decoded)
	return hash, nil
}

// String returns the hash in hexadecimal digits.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText writes the hash in hexadecimal digits.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText reads a hash in hexadecimal digits.
func (h *Hash) UnmarshalText(text []byte) (err error) {
	*h, err = ParseHash(string(text))
	return err
}

// Chunk is immutable encoded content under its hash.
type Chunk struct {
	// Hash is the hash of the content.
	Hash Hash
	// Content is the encoded content.
	Content []byte
}

func newChunk(content []byte) Chunk { return Chunk{Hash: HashOf(content), Content: content} }

// HistoryEntry is the record of one edit, or of its withdrawal.
type HistoryEntry struct {
	// ID is the id of the edit.
	ID string `cbor:"1,keyasint" json:"id"`
	// Generation is the generation that holds the edit, zero if it was withdrawn before it was accepted.
	Generation uint64 `cbor:"2,keyasint,omitempty" json:"generation"`
	// Author names the operator.
	Author string `cbor:"3,keyasint,omitempty" json:"author"`
	// RecordedAt is the time of acceptance in milliseconds since 1970, by the clock of the instance that took the edit.
	RecordedAt int64 `cbor:"4,keyasint,omitempty" json:"at"`
	// Summary summarises the operations.
	Summary string `cbor:"5,keyasint,omitempty" json:"what"`
}

// Sizes of the record of edits.
const (
	// entriesPerChunk is the number of entries that are sealed into one chunk.
	entriesPerChunk = 32
	// maxSealed is the number of sealed chunks that are kept: at least the newest 1,000 entries.
	maxSealed = 32
	// maxWhatBytes is the greatest length of the summary of an edit.
	maxWhatBytes = 160
)

// Manifest names the content of one generation of the tables.
type Manifest struct {
	// Generation counts accepted edits.
	Generation uint64 `cbor:"1,keyasint"`
	// Chunks lists the chunks of the tables in order.
	Chunks []Hash `cbor:"2,keyasint"`
}

// Head is the one record that changes: the newest manifest and the record of edits.
type Head struct {
	Manifest
	// Recent lists the newest entries of the record of edits, oldest first.
	Recent []HistoryEntry `cbor:"3,keyasint"`
	// Sealed lists the chunks that hold the entries before Recent, oldest first.
	Sealed []Hash `cbor:"4,keyasint"`
}

// FindRecent returns the entry of the edit if it is among those in the head itself.
func (h *Head) FindRecent(id string) (HistoryEntry, bool) {
	return FindHistoryEntry(h.Recent, id)
}

// FindHistoryEntry returns the entry of the edit.
func FindHistoryEntry(entries []HistoryEntry, id string) (HistoryEntry, bool) {
	for _, entry := range entries {
		if entry.ID == id {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// HeadUpdate is a head that may follow another one, with the chunks that it needs.
type HeadUpdate struct {
	// Head is the following head.
	Head Head
	// Chunks holds the content of every chunk that the head names and the previous head does not.
	Chunks []Chunk
}

// UpdateHead returns the head that puts the tables in force after previous, recorded by the entry.
func UpdateHead(previous *Head, tables *Tables, entry HistoryEntry) (next HeadUpdate, err error) {
	chunks, err := encodeRows(tables)
	if err != nil {
		return HeadUpdate{}, err
	}
	next.Head.Generation = tables.Generation
	known := previous.ReferencedChunks()
	for _, chunk := range chunks {
		next.Head.Chunks = append(next.Head.Chunks, chunk.Hash)
		if !known[chunk.Hash] {
			next.Chunks = append(next.Chunks, chunk)
		}
	}
	return next, next.record(previous, entry)
}

// Withdraw returns the head that records an edit as never to be accepted, over unchanged tables.
func Withdraw(previous *Head, entry HistoryEntry) (next HeadUpdate, err error) {
	next.Head.Generation = previous.Generation
	next.Head.Chunks = previous.Chunks
	entry.Generation = 0
	return next, next.record(previous, entry)
}

// record appends the entry, and seals the entries before it once there are enough.
func (n *HeadUpdate) record(previous *Head, entry HistoryEntry) error {
	n.Head.Recent = append(n.Head.Recent, previous.Recent...)
	n.Head.Sealed = append(n.Head.Sealed, previous.Sealed...)
	if len(n.Head.Recent) >= entriesPerChunk {
		content, err := encode(n.Head.Recent)
		if err != nil {
			return err
		}
		sealed := newChunk(content)
		n.Chunks = append(n.Chunks, sealed)
		n.Head.Recent = nil
		n.Head.Sealed = append(n.Head.Sealed, sealed.Hash)
		n.Head.Sealed = n.Head.Sealed[max(0, len(n.Head.Sealed)-maxSealed):]
	}
	n.Head.Recent = append(n.Head.Recent, entry)
	return nil
}

// ReferencedChunks returns every chunk that the head names.
func (h *Head) ReferencedChunks() map[Hash]bool {
	names := make(map[Hash]bool, len(h.Chunks)+len(h.Sealed))
	for _, hash := range h.Chunks {
		names[hash] = true
	}
	for _, hash := range h.Sealed {
		names[hash] = true
	}
	return names
}

// NewHistoryEntry returns the entry of an edit that is accepted at the generation.
func NewHistoryEntry(edit Edit, generation uint64, at time.Time) HistoryEntry {
	return HistoryEntry{ID: edit.ID, Generation: generation, Author: edit.Author, RecordedAt: at.UnixMilli(), Summary: summary(edit.Operations)}
}

// summary names the operations, as many as fit.
func summary(operations []Operation) string {
	text := ""
	for i, operation := range operations {
		piece := operation.String()
		if i > 0 {
			piece = ", " + piece
		}
		if len(text)+len(piece) > maxWhatBytes {
			return text + fmt.Sprintf(" and %d more", len(operations)-i)
		}
		text += piece
	}
	return text
}
