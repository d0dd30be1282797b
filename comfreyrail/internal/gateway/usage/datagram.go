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

// Steps in which numbers are told.
const (
	// rateScale is the number of steps in one second of work a second.
	rateScale = 1000
	// tokenScale is the number of tokens in one step.
	tokenScale = 64
	// slowScale is the number of steps in one usual time.
	slowScale = 10
)

// message is a datagram.
type message struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Zone    string
	Near    int    // instances of its zone that are told at a time
	Far     int    // instances of other zones that are told at a time
	Engines []byte // entries, one after the other
}

// entry is the work at one engine, in a fixed number of bytes.
type entry struct {
	Engine  uint32
	Tokens  uint16
	Rate    uint16
	Slow    uint8 // zero if unknown
	Suspect bool
}

// Sizes of the parts of a datagram in bytes.
const (
	// entryBytes is the size of an entry.
	entryBytes = 10
	// headerBytes is the size of what stands before the entries, and of the headers of the packet, at most.
	headerBytes = 100
)

// errMalformed means that a datagram was not written by an instance.
const errMalformed = errors.ConstError("malformed datagram")

func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// encode writes a datagram of the engines that have work.
func encode(told message, uses map[string]pipeline.Usage) (datagram []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "write datagram")
	entries := make([]entry, 0, min(len(uses), maxEngines))
	for id, use := range uses {
		if len(entries) == maxEngines {
			break
		}
		entries = append(entries, entry{
			Engine: hash(id), Tokens: steps(use.ReservedKV / tokenScale), Rate: steps(use.WorkRate * rateScale),
			Slow: uint8(min(math.Round(use.Slowness*slowScale), math.MaxUint8)), Suspect: use.Suspect,
		})
	}
	if told.Engines, err = binary.Append(nil, binary.BigEndian, entries); err != nil {
		return nil, err
	}
	return cbor.Marshal(told)
}

// steps returns a number of steps, at most what an entry holds.
func steps(n float64) uint16 { return uint16(min(math.Ceil(n), math.MaxUint16)) }

// decode reads a datagram.
func decode(datagram []byte) (name string, told report, err error) {
	var read message
	if err = cbor.Unmarshal(datagram, &read); err != nil {
		return "", told, err
	}
	if read.Name == "" || read.Near < 1 || read.Far < 1 || len(read.Engines)%entryBytes != 0 || len(read.Engines) > maxEngines*entryBytes {
		return "", told, errMalformed
	}
	entries := make([]entry, len(read.Engines)/entryBytes)
	if err = binary.Read(bytes.NewReader(read.Engines), binary.BigEndian, entries); err != nil {
		return "", told, err
	}
	told = report{zone: read.Zone, near: read.Near, far: read.Far, uses: make(map[uint32]pipeline.Usage, len(entries))}
	for _, engine := range entries {
		told.uses[engine.Engine] = pipeline.Usage{
			ReservedKV: float64(engine.Tokens) * tokenScale, WorkRate: float64(engine.Rate) / rateScale, Suspect: engine.Suspect,
			Slowness: float64(engine.Slow) / slowScale,
		}
	}
	return read.Name, told, nil
}
