package claim

import "maps"

// State is what is known about a claimed request.
type State uint8

const (
	// Running means that the owner may dispatch the request, or has.
	Running State = iota
	// Done means that the request ran and its whole answer arrived.
	Done
	// NotRun means that the request did not run under this claim, nor will.
	NotRun
	// Unknown means that the request may have run.
	Unknown
)

// Entry is one claim in a record.
type Entry struct {
	// Digest is the digest of the request that claimed the key.
	Digest Digest
	// Owner is the incarnation that alone may dispatch the request.
	Owner string
	// Sequence numbers the claims of the owner.
	Sequence uint64
	// State is Running, Done or Unknown; Running if the owner has not told more.
	State State
	// Response is the encoded answer of a Done request, empty if it was too large to keep here.
	Response []byte
}

// Record is the value of one shard in the platform's service.
type Record struct {
	// Epoch counts the rotations.
	Epoch uint64
	// Current holds the claims of this epoch.
	Current map[Key]Entry
	// Previous holds the claims of the epoch before; older ones are forgotten.
	Previous map[Key]Entry
}

// Find returns the claim of the key.
func (r *Record) Find(key Key) (entry Entry, ok bool) {
	if entry, ok = r.Current[key]; ok {
		return entry, true
	}
	entry, ok = r.Previous[key]
	return entry, ok
}

// Clone returns a copy that shares nothing that is ever changed.
func (r *Record) Clone() Record {
	return Record{Epoch: r.Epoch, Current: cloned(r.Current), Previous: cloned(r.Previous)}
}

func cloned(entries map[Key]Entry) map[Key]Entry {
	if entries == nil {
		return make(map[Key]Entry)
	}
	return maps.Clone(entries)
}

// set replaces the claim of the key, or adds it, in the current epoch.
func (r *Record) set(key Key, entry Entry) {
	delete(r.Previous, key)
	r.Current[key] = entry
}

// answerBytes returns the size of all answers in bytes.
func (r *Record) answerBytes() (size int) {
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

// rotate forgets the claims of the previous epoch.
func (r *Record) rotate() {
	r.Epoch++
	r.Previous, r.Current = r.Current, make(map[Key]Entry)
}
