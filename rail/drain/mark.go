package drain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Source tells the sources of signs apart.
type Source string

const (
	// SourceTable is the operators' tables; their generations order them, so they need no marks.
	SourceTable Source = "table"
	// SourceList is the platform's lagging list of instances.
	SourceList Source = "list"
	// SourceAnswer is the server's own status or refusal.
	SourceAnswer Source = "answer"
)

// Mark is a sign, seen by one instance, that a backend server is leaving.
type Mark struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint" json:"server"`
	// Source is SourceList or SourceAnswer.
	Source Source `cbor:"2,keyasint" json:"source"`
	// Observer is the incarnation of the instance that saw the sign.
	Observer string `cbor:"3,keyasint" json:"observer"`
	// Sequence counts the marks of the observer; together they identify the mark.
	Sequence uint64 `cbor:"4,keyasint" json:"sequence"`
	// Ended tells that later evidence has ended the mark.
	Ended bool `cbor:"5,keyasint,omitempty" json:"ended,omitempty"`
}

// identity identifies a mark in the whole fleet.
type identity struct {
	observer string
	sequence uint64
}

func (m Mark) identity() identity { return identity{m.Observer, m.Sequence} }

// Hash returns a hash of the marks in their order, zero for none.
func Hash(marks []Mark) uint64 {
	if len(marks) == 0 {
		return 0
	}
	digest := xxhash.New()
	for _, mark := range marks {
		number := binary.LittleEndian.AppendUint64(nil, mark.Sequence)
		if mark.Ended {
			number = append(number, 1)
		}
		_, _ = digest.WriteString(mark.Server + "\x00" + mark.Observer + "\x00")
		_, _ = digest.Write(number)
	}
	return digest.Sum64()
}
