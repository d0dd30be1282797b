package table

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"
)

// hashSize is the length of a content hash in bytes.
const hashSize = 16

// Hash is the truncated SHA-256 of encoded content and the key under which it is stored.
type Hash [hashSize]byte

// HashOf returns the hash of encoded content.
func HashOf(content []byte) (hash Hash) {
	sum := sha256.Sum256(content)
	copy(hash[:], sum[:])
	return hash
}

// ParseHash parses a hash in the form that String returns.
func ParseHash(text string) (hash Hash, err error) {
	decoded, err := hex.DecodeString(text)
	if err != nil || len(decoded) != hashSize {
		return Hash{}, fmt.Errorf("%q is not a content hash", text)
	}
	copy(hash[:], decoded)
	return hash, nil
}

// String returns the hash in hexadecimal.
func (h Hash) String() string { return hex.EncodeToString(h[:]) }

// MarshalText returns the hash in hexadecimal.
func (h Hash) MarshalText() ([]byte, error) { return []byte(h.String()), nil }

// UnmarshalText parses a hash in hexadecimal.
func (h *Hash) UnmarshalText(text []byte) (err error) {
	*h, err = ParseHash(string(text))
	return err
}

// Chunk is immutable encoded content together with its hash.
type Chunk struct {
	// Hash is the hash of the content.
	Hash Hash
	// Content is the encoded content.
	Content []byte
}

func newChunk(content []byte) Chunk { return Chunk{Hash: HashOf(content), Content: content} }

// HistoryEntry records an accepted or withdrawn edit in the history.
type HistoryEntry struct {
	// ID is the ID of the edit.
	ID string `cbor:"1,keyasint" json:"id"`
	// Generation is the first generation that contains the edit, or zero if the edit was withdrawn before it was accepted.
	Generation uint64 `cbor:"2,keyasint,omitempty" json:"generation"`
	// Author is the name of the operator.
	Author string `cbor:"3,keyasint,omitempty" json:"author"`
	// RecordedAt is the time of acceptance or withdrawal in milliseconds since 1970, by the clock of the instance that handled it.
	RecordedAt int64 `cbor:"4,keyasint,omitempty" json:"at"`
	// Summary lists the operations, as many as fit into maxSummaryBytes.
	Summary string `cbor:"5,keyasint,omitempty" json:"what"`
}

// Sizes of the history of edits.
const (
	// entriesPerChunk is the number of history entries in a sealed chunk, which never changes again.
	entriesPerChunk = 32
	// maxSealed is the number of sealed chunks that are kept. With entriesPerChunk it keeps at least the newest 1,000 entries.
	maxSealed = 32
	// maxSummaryBytes is the length up to which operations are added to the summary of an edit.
	maxSummaryBytes = 160
)

// Manifest lists the chunks that make up one generation of the tables.
type Manifest struct {
	// Generation is the number of accepted edits.
	Generation uint64 `cbor:"1,keyasint"`
	// Chunks lists the hashes of the chunks in the order of their rows.
	Chunks []Hash `cbor:"2,keyasint"`
}

// Head is the record of the newest generation: its manifest and the history of edits.
//
// It is the only record of the configuration whose content changes; chunks are immutable.
type Head struct {
	Manifest
	// Recent lists the newest entries of the history, oldest first.
	Recent []HistoryEntry `cbor:"3,keyasint"`
	// Sealed lists the hashes of the chunks that hold the entries before Recent, oldest first.
	Sealed []Hash `cbor:"4,keyasint"`
}

// FindRecent returns the entry of the edit if Recent contains it.
func (h *Head) FindRecent(id string) (HistoryEntry, bool) {
	return FindHistoryEntry(h.Recent, id)
}

// FindHistoryEntry returns the entry of the edit with the ID and reports whether there is one.
func FindHistoryEntry(entries []HistoryEntry, id string) (HistoryEntry, bool) {
	for _, entry := range entries {
		if entry.ID == id {
			return entry, true
		}
	}
	return HistoryEntry{}, false
}

// HeadUpdate is a new head together with the chunks to write before it.
type HeadUpdate struct {
	// Head is the new head.
	Head Head
	// Chunks holds every chunk that the new head references and the previous head does not.
	Chunks []Chunk
}

// UpdateHead returns the head that follows previous, with the chunks to write before it. The new head references the
// chunks of the tables, and its history has the entry added.
func UpdateHead(previous *Head, tables *Tables, entry HistoryEntry) (update HeadUpdate, err error) {
	chunks, err := encodeRows(tables)
	if err != nil {
		return HeadUpdate{}, err
	}
	update.Head.Generation = tables.Generation
	referenced := previous.ReferencedChunks()
	for _, chunk := range chunks {
		update.Head.Chunks = append(update.Head.Chunks, chunk.Hash)
		if !referenced[chunk.Hash] {
			update.Chunks = append(update.Chunks, chunk)
		}
	}
	return update, update.appendEntry(previous, entry)
}

// Withdraw returns the head that follows previous and records an edit as withdrawn, with the chunks to write before it.
// The tables are unchanged.
func Withdraw(previous *Head, entry HistoryEntry) (update HeadUpdate, err error) {
	update.Head.Generation = previous.Generation
	update.Head.Chunks = previous.Chunks
	entry.Generation = 0
	return update, update.appendEntry(previous, entry)
}

// appendEntry adds the entry to the history of the previous head, and moves the earlier entries
// to a sealed chunk once there are entriesPerChunk of them.
func (u *HeadUpdate) appendEntry(previous *Head, entry HistoryEntry) error {
	u.Head.Recent = append(u.Head.Recent, previous.Recent...)
	u.Head.Sealed = append(u.Head.Sealed, previous.Sealed...)
	if len(u.Head.Recent) >= entriesPerChunk {
		content, err := encode(u.Head.Recent)
		if err != nil {
			return err
		}
		sealed := newChunk(content)
		u.Chunks = append(u.Chunks, sealed)
		u.Head.Recent = nil
		u.Head.Sealed = append(u.Head.Sealed, sealed.Hash)
		u.Head.Sealed = u.Head.Sealed[max(0, len(u.Head.Sealed)-maxSealed):]
	}
	u.Head.Recent = append(u.Head.Recent, entry)
	return nil
}

// ReferencedChunks returns the hashes of all chunks that the head references.
func (h *Head) ReferencedChunks() map[Hash]bool {
	referenced := make(map[Hash]bool, len(h.Chunks)+len(h.Sealed))
	for _, hash := range h.Chunks {
		referenced[hash] = true
	}
	for _, hash := range h.Sealed {
		referenced[hash] = true
	}
	return referenced
}

// NewHistoryEntry returns the entry of an edit that is accepted as the generation, or withdrawn if it is zero.
func NewHistoryEntry(edit Edit, generation uint64, at time.Time) HistoryEntry {
	return HistoryEntry{ID: edit.ID, Generation: generation, Author: edit.Author, RecordedAt: at.UnixMilli(), Summary: summary(edit.Operations)}
}

// summary lists the operations, and the number of those left out once maxSummaryBytes is reached.
func summary(operations []Operation) string {
	text := ""
	for i, operation := range operations {
		piece := operation.String()
		if i > 0 {
			piece = ", " + piece
		}
		if len(text)+len(piece) > maxSummaryBytes {
			return text + fmt.Sprintf(" and %d more", len(operations)-i)
		}
		text += piece
	}
	return text
}
