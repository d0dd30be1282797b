package claim

import (
	"fmt"
	"maps"

	"github.com/fxamacker/cbor/v2"
)

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
	// Request is the digest of the request that claimed the key.
	Request Digest
	// Owner is the incarnation that alone may dispatch the request.
	Owner string
	// Sequence numbers the claims of the owner.
	Sequence uint64
	// State is Running, Done or Unknown; Running if the owner has not told more.
	State State
	// Answer is the encoded answer of a Done request, empty if it was too large to keep here.
	Answer []byte
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
		size += len(entry.Answer)
	}
	for _, entry := range r.Previous {
		size += len(entry.Answer)
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

// packedRecord is the encoded form of a Record, which names each owner once.
type packedRecord struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Owners   []string
	Current  []packedEntry
	Previous []packedEntry
}

type packedEntry struct {
	_        struct{} `cbor:",toarray"`
	Key      []byte
	Request  []byte
	Owner    int
	Sequence uint64
	State    State
	Answer   []byte
}

// Encode returns the record as bytes.
func (r *Record) Encode() ([]byte, error) {
	packed := packedRecord{Epoch: r.Epoch}
	numbers := make(map[string]int)
	pack := func(entries map[Key]Entry) []packedEntry {
		list := make([]packedEntry, 0, len(entries))
		for key, entry := range entries {
			number, ok := numbers[entry.Owner]
			if !ok {
				number = len(packed.Owners)
				numbers[entry.Owner] = number
				packed.Owners = append(packed.Owners, entry.Owner)
			}
			list = append(list, packedEntry{
				Key: key[:], Request: entry.Request[:], Owner: number,
				Sequence: entry.Sequence, State: entry.State, Answer: entry.Answer,
			})
		}
		return list
	}
	packed.Current, packed.Previous = pack(r.Current), pack(r.Previous)
	return cbor.Marshal(packed)
}

// Decode returns the record that the bytes encode.
func Decode(encoded []byte) (record Record, err error) {
	var packed packedRecord
	if err = cbor.Unmarshal(encoded, &packed); err != nil {
		return Record{}, fmt.Errorf("claims are malformed: %w", err)
	}
	record.Epoch = packed.Epoch
	if record.Current, err = unpack(packed.Owners, packed.Current); err == nil {
		record.Previous, err = unpack(packed.Owners, packed.Previous)
	}
	return record, err
}

func unpack(owners []string, list []packedEntry) (map[Key]Entry, error) {
	entries := make(map[Key]Entry, len(list))
	for _, packed := range list {
		if packed.Owner < 0 || packed.Owner >= len(owners) || len(packed.Key) != len(Key{}) || len(packed.Request) != len(Digest{}) {
			return nil, fmt.Errorf("claims are malformed: entry of %d and %d bytes for owner %d of %d",
				len(packed.Key), len(packed.Request), packed.Owner, len(owners))
		}
		entries[Key(packed.Key)] = Entry{
			Request: Digest(packed.Request), Owner: owners[packed.Owner],
			Sequence: packed.Sequence, State: packed.State, Answer: packed.Answer,
		}
	}
	return entries, nil
}
