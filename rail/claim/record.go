package claim

import "maps"

// State is the state of a claimed request.
type State uint8

const (
	// Running means that the owner may dispatch the request or has dispatched it.
	Running State = iota
	// Done means that the request ran and its complete response arrived.
	Done
	// NotRun means that the request did not run under this claim and never will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Entry is one claim in a record.
type Entry struct {
	// Digest is the digest of the request that claimed the key.
	Digest Digest
	// Owner is the only incarnation that may dispatch the request.
	Owner string
	// Sequence is the number of the claim among those of the owner.
	Sequence uint64
	// State is Running, Done or Unknown; it stays Running until the owner writes another state.
	State State
	// Response is the encoded response to a Done request, empty if it was too large or there was no space to store it.
	Response []byte
}

// Record holds the claims of one shard of the keys; its encoded form is the value of the shard's key in the platform's store.
type Record struct {
	// Epoch is the number of rotations of the record.
	Epoch uint64
	// Current holds the claims that were added or updated since the last rotation.
	Current map[Key]Entry
	// Previous holds the claims that were last added or updated between the last two rotations; older claims were dropped.
	Previous map[Key]Entry
}

// Find returns the claim of the key from Current or Previous; ok is false if there is none.
func (r *Record) Find(key Key) (entry Entry, ok bool) {
	if entry, ok = r.Current[key]; ok {
		return entry, true
	}
	entry, ok = r.Previous[key]
	return entry, ok
}

// Clone returns a copy with maps of its own, which are never nil; the copy shares only responses, which are never changed.
func (r *Record) Clone() Record {
	return Record{Epoch: r.Epoch, Current: cloneEntries(r.Current), Previous: cloneEntries(r.Previous)}
}

func cloneEntries(entries map[Key]Entry) map[Key]Entry {
	if entries == nil {
		return make(map[Key]Entry)
	}
	return maps.Clone(entries)
}

// set replaces the claim of the key, or adds it, in Current.
func (r *Record) set(key Key, entry Entry) {
	delete(r.Previous, key)
	r.Current[key] = entry
}

// responseBytes returns the total size of the responses in bytes.
func (r *Record) responseBytes() (size int) {
	for _, entry := range r.Current {
		size += len(entry.Response)
	}
	for _, entry := range r.Previous {
		size += len(entry.Response)
	}
	return size
}

func (r *Record) remove(key Key) {
	delete(r.Current, key)
	delete(r.Previous, key)
}

// rotate makes Previous hold the claims of Current, and drops the claims that Previous held.
func (r *Record) rotate() {
	r.Epoch++
	r.Previous, r.Current = r.Current, make(map[Key]Entry)
}
