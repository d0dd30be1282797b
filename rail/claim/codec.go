package claim

import (
	"encoding/binary"
	"fmt"

	"github.com/fxamacker/cbor/v2"
)

// packedRecord is the encoded form of a Record: entries of fixed size that refer to owners and answers by number.
type packedRecord struct {
	_        struct{} `cbor:",toarray"`
	Epoch    uint64
	Owners   []string
	Answers  [][]byte
	Current  []byte
	Previous []byte
}

// Layout of a packed entry, in bytes.
const (
	requestAt   = len(Key{})
	ownerAt     = requestAt + len(Digest{})
	sequenceAt  = ownerAt + 2
	stateAt     = sequenceAt + 8
	answerAt    = stateAt + 1 // answerAt is the offset of one more than the number of the answer, zero for none.
	entryLength = answerAt + 4
)

// maxOwners is the greatest number of owners in one record.
const maxOwners = 1 << 16

// Encode returns the record as bytes.
func (r *Record) Encode() ([]byte, error) {
	packed := packedRecord{Epoch: r.Epoch}
	numbers := make(map[string]int)
	packed.Current = packed.pack(r.Current, numbers)
	packed.Previous = packed.pack(r.Previous, numbers)
	if len(packed.Owners) > maxOwners {
		return nil, fmt.Errorf("record has %d owners; at most %d fit", len(packed.Owners), maxOwners)
	}
	return cbor.Marshal(packed)
}

// pack packs entries, and adds their owners and answers to the record.
func (p *packedRecord) pack(entries map[Key]Entry, numbers map[string]int) []byte {
	list := make([]byte, 0, len(entries)*entryLength)
	for key, entry := range entries {
		number, ok := numbers[entry.Owner]
		if !ok {
			number = len(p.Owners)
			numbers[entry.Owner] = number
			p.Owners = append(p.Owners, entry.Owner)
		}
		answer := 0
		if len(entry.Response) > 0 {
			p.Answers = append(p.Answers, entry.Response)
			answer = len(p.Answers)
		}
		list = append(list, key[:]...)
		list = append(list, entry.Digest[:]...)
		list = binary.BigEndian.AppendUint16(list, uint16(number))
		list = binary.BigEndian.AppendUint64(list, entry.Sequence)
		list = append(list, byte(entry.State))
		list = binary.BigEndian.AppendUint32(list, uint32(answer))
	}
	return list
}

// Decode returns the record that the bytes encode.
func Decode(encoded []byte) (record Record, err error) {
	var packed packedRecord
	if err = cbor.Unmarshal(encoded, &packed); err != nil {
		return Record{}, fmt.Errorf("claims are malformed: %w", err)
	}
	record.Epoch = packed.Epoch
	if record.Current, err = packed.unpack(packed.Current); err == nil {
		record.Previous, err = packed.unpack(packed.Previous)
	}
	return record, err
}

func (p *packedRecord) unpack(list []byte) (map[Key]Entry, error) {
	if len(list)%entryLength != 0 {
		return nil, fmt.Errorf("claims are malformed: %d bytes are no whole number of entries", len(list))
	}
	entries := make(map[Key]Entry, len(list)/entryLength)
	for ; len(list) > 0; list = list[entryLength:] {
		owner := int(binary.BigEndian.Uint16(list[ownerAt:]))
		answer := int(binary.BigEndian.Uint32(list[answerAt:]))
		state := State(list[stateAt])
		if owner >= len(p.Owners) || answer > len(p.Answers) || state > Unknown {
			return nil, fmt.Errorf("claims are malformed: entry with owner %d of %d, answer %d of %d and state %d",
				owner, len(p.Owners), answer, len(p.Answers), state)
		}
		entry := Entry{
			Digest: Digest(list[requestAt:ownerAt]), Owner: p.Owners[owner],
			Sequence: binary.BigEndian.Uint64(list[sequenceAt:]), State: state,
		}
		if answer > 0 {
			entry.Response = p.Answers[answer-1]
		}
		entries[Key(list[:requestAt])] = entry
	}
	return entries, nil
}
