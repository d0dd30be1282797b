package drain

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// Source is the kind of source that a report comes from.
type Source string

const (
	// SourceTable is the tables of the operators, which need no marks because their generations order them.
	SourceTable Source = "table"
	// SourceList is the platform's list of instances and backend servers, which lags behind their actual state.
	SourceList Source = "list"
	// SourceResponse is a response of the server itself, either its status or a refusal.
	SourceResponse Source = "answer"
)

// Mark is the record of a report that one instance received and sends to its peers.
type Mark struct {
	// Server is the name of the backend server.
	Server string `cbor:"1,keyasint" json:"server"`
	// Source is SourceList or SourceResponse.
	Source Source `cbor:"2,keyasint" json:"source"`
	// Observer is the incarnation of the instance that received the report.
	Observer string `cbor:"3,keyasint" json:"observer"`
	// Sequence is the number of the mark among the observer's marks; with Observer it identifies the mark.
	Sequence uint64 `cbor:"4,keyasint" json:"sequence"`
	// Ended reports whether the mark has ended, by later evidence or because its observer replaced it or no longer has it.
	Ended bool `cbor:"5,keyasint,omitempty" json:"ended,omitempty"`
}

// identity identifies a mark uniquely in the fleet.
type identity struct {
	observer string
	sequence uint64
}

func (m Mark) identity() identity { return identity{m.Observer, m.Sequence} }

// Hash returns a hash of the marks that depends on their order, or zero if there are none.
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
