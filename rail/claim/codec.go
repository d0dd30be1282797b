package claim

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// packedRecord is the encoded form of a Record: entries of fixed size that refer to owners and responses by index.
type packedRecord struct {
	_         struct{} `cbor:",toarray"`
	Epoch     uint64
	Owners    []string
	Responses [][]byte
	Current   []byte
	Previous  []byte
}

// Offsets of the fields of a packed entry and its size, in bytes.
const (
	digestOffset   = len(Key{})
	ownerOffset    = digestOffset + len(Digest{})
	sequenceOffset = ownerOffset + 2
	stateOffset    = sequenceOffset + 8
	responseOffset = stateOffset + 1 // The field holds the index of the response plus one, or zero for none.
	entrySize      = responseOffset + 4
)

// maxOwners is the maximum number of owners in one record; an entry holds the index of its owner in 16 bits.
const maxOwners = 1 << 16

// Encode returns the encoded record, or an error if its claims have more than 65536 owners.
func (r *Record) Encode() ([]byte, error) {
	packed := packedRecord{Epoch: r.Epoch}
	ownerIndexes := make(map[string]int)
	packed.Current = packed.packEntries(r.Current, ownerIndexes)
	packed.Previous = packed.packEntries(r.Previous, ownerIndexes)
	if len(packed.Owners) > maxOwners {
		return nil, fmt.Errorf("record has %d owners; at most %d fit", len(packed.Owners), maxOwners)
	}
	return cbor.Marshal(packed)
}

// packEntries returns the packed entries, and adds their owners and responses to the record.
func (p *packedRecord) packEntries(entries map[Key]Entry, ownerIndexes map[string]int) []byte {
	packed := make([]byte, 0, len(entries)*entrySize)
	for key, entry := range entries {
		index, ok := ownerIndexes[entry.Owner]
		if !ok {
			index = len(p.Owners)
			ownerIndexes[entry.Owner] = index
			p.Owners = append(p.Owners, entry.Owner)
		}
		response := 0
		if len(entry.Response) > 0 {
			p.Responses = append(p.Responses, entry.Response)
			response = len(p.Responses)
		}
		packed = append(packed, key[:]...)
		packed = append(packed, entry.Digest[:]...)
		packed = binary.BigEndian.AppendUint16(packed, uint16(index))
		packed = binary.BigEndian.AppendUint64(packed, entry.Sequence)
		packed = append(packed, byte(entry.State))
		packed = binary.BigEndian.AppendUint32(packed, uint32(response))
	}
	return packed
}

// Decode returns the record that Encode encoded, or an error if it is malformed.
func Decode(encoded []byte) (record Record, err error) {
	var packed packedRecord
	if err = cbor.Unmarshal(encoded, &packed); err != nil {
		return Record{}, fmt.Errorf("record is malformed: %w", err)
	}
	record.Epoch = packed.Epoch
	if record.Current, err = packed.unpackEntries(packed.Current); err == nil {
		record.Previous, err = packed.unpackEntries(packed.Previous)
	}
	return record, err
}

// unpackEntries returns the entries, or an error if the size is not that of whole entries, or if an entry has an unknown state
// or refers to an owner or a response that the record does not have.
func (p *packedRecord) unpackEntries(packed []byte) (map[Key]Entry, error) {
	if len(packed)%entrySize != 0 {
		return nil, fmt.Errorf("record is malformed: %d bytes are not a whole number of entries", len(packed))
	}
	entries := make(map[Key]Entry, len(packed)/entrySize)
	for ; len(packed) > 0; packed = packed[entrySize:] {
		owner := int(binary.BigEndian.Uint16(packed[ownerOffset:]))
		response := int(binary.BigEndian.Uint32(packed[responseOffset:]))
		state := State(packed[stateOffset])
		if owner >= len(p.Owners) || response > len(p.Responses) || state > Unknown {
			return nil, fmt.Errorf("record is malformed: entry with owner %d of %d, response %d of %d and state %d",
				owner, len(p.Owners), response, len(p.Responses), state)
		}
		entry := Entry{
			Digest: Digest(packed[digestOffset:ownerOffset]), Owner: p.Owners[owner],
			Sequence: binary.BigEndian.Uint64(packed[sequenceOffset:]), State: state,
		}
		if response > 0 {
			entry.Response = p.Responses[response-1]
		}
		entries[Key(packed[:digestOffset])] = entry
	}
	return entries, nil
}
