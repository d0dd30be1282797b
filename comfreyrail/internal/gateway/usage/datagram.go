package usage

import (
	"bytes"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// Resolutions of the numbers in an entry.
const (
	// rateScale is the number of steps in a work rate of one second of work per second.
	rateScale = 1000
	// tokenScale is the number of tokens in one step.
	tokenScale = 64
	// slownessScale is the number of steps in a slowness of 1, which means the usual time.
	slownessScale = 10
)

// message is the content of a datagram, encoded as a CBOR array.
type message struct {
	_          struct{} `cbor:",toarray"`
	Name       string
	Zone       string
	SameZone   int    // number of instances of the sender's zone that it sends to in a round
	OtherZones int    // number of instances of other zones that it sends to in a round
	Engines    []byte // concatenated entries in big-endian order
}

// entry is the work at one engine, encoded in a fixed number of bytes.
type entry struct {
	Engine   uint32 // hash of the engine's ID
	Tokens   uint16 // pipeline.Usage.ReservedKV in steps of tokenScale
	Rate     uint16 // pipeline.Usage.WorkRate in steps of 1/rateScale
	Slowness uint8  // pipeline.Usage.Slowness in steps of 1/slownessScale, zero if unknown
	Suspect  bool
}

// Sizes of the parts of a datagram in bytes.
const (
	// entryBytes is the encoded size of an entry.
	entryBytes = 10
	// headerBytes is the maximum size of the fields before the entries together with the headers of the packet.
	headerBytes = 100
)

// errMalformed means that a datagram is not a valid report of an instance.
const errMalformed = errors.ConstError("malformed datagram")

func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// encode returns a datagram with the header and the usage of up to maxEngines engines.
func encode(header message, usage map[string]pipeline.Usage) (datagram []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode datagram")
	entries := make([]entry, 0, min(len(usage), maxEngines))
	for id, u := range usage {
		if len(entries) == maxEngines {
			break
		}
		entries = append(entries, entry{
			Engine: hashID(id), Tokens: toSteps(u.ReservedKV / tokenScale), Rate: toSteps(u.WorkRate * rateScale),
			Slowness: uint8(min(math.Round(u.Slowness*slownessScale), math.MaxUint8)), Suspect: u.FailedRecently,
		})
	}
	if header.Engines, err = binary.Append(nil, binary.BigEndian, entries); err != nil {
		return nil, err
	}
	return cbor.Marshal(header)
}

// toSteps rounds n up to a whole number of steps, at most the maximum of an entry's field.
func toSteps(n float64) uint16 { return uint16(min(math.Ceil(n), math.MaxUint16)) }

// decode decodes a datagram into the sender's name and its report.
func decode(datagram []byte) (name string, received report, err error) {
	var m message
	if err = cbor.Unmarshal(datagram, &m); err != nil {
		return "", received, err
	}
	if m.Name == "" || m.SameZone < 1 || m.OtherZones < 1 || len(m.Engines)%entryBytes != 0 || len(m.Engines) > maxEngines*entryBytes {
		return "", received, errMalformed
	}
	entries := make([]entry, len(m.Engines)/entryBytes)
	if err = binary.Read(bytes.NewReader(m.Engines), binary.BigEndian, entries); err != nil {
		return "", received, err
	}
	received = report{zone: m.Zone, sameZone: m.SameZone, otherZones: m.OtherZones, usage: make(map[uint32]pipeline.Usage, len(entries))}
	for _, e := range entries {
		received.usage[e.Engine] = pipeline.Usage{
			ReservedKV: float64(e.Tokens) * tokenScale, WorkRate: float64(e.Rate) / rateScale, FailedRecently: e.Suspect,
			Slowness: float64(e.Slowness) / slownessScale,
		}
	}
	return m.Name, received, nil
}
