package usage

import (
	"bytes"
	"cmp"
	"encoding/binary"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// Resolutions of the numbers in an entry.
const (
	// stepsPerRate is the number of steps in a work rate of 1, which means one second of work per second.
	stepsPerRate = 1000
	// kvPerStep is the number of tokens times layers in one step of pipeline.Usage.ReservedKV.
	kvPerStep = 64
	// stepsPerSlowness is the number of steps in a slowness of 1, which means the usual time.
	stepsPerSlowness = 10
)

// message is the content of a datagram, encoded as a CBOR array.
type message struct {
	_                   struct{} `cbor:",toarray"`
	Name                string
	Zone                string
	SameZoneRecipients  int    `cbor:"SameZone"`   // number of instances of the sender's zone that it sends to in a round
	OtherZoneRecipients int    `cbor:"OtherZones"` // number of instances of other zones that it sends to in a round
	Entries             []byte // concatenated entries, each in big-endian byte order
}

// entry is the usage of one engine or link, encoded in a fixed number of bytes.
type entry struct {
	ID             uint32 // hash of the engine's or link's ID
	ReservedKV     uint16 // pipeline.Usage.ReservedKV in steps of kvPerStep
	WorkRate       uint16 // pipeline.Usage.WorkRate in steps of 1/stepsPerRate
	Slowness       uint8  // pipeline.Usage.Slowness in steps of 1/stepsPerSlowness, zero if unknown
	FailedRecently bool
}

// Sizes of the parts of a datagram in bytes.
const (
	// entryBytes is the encoded size of an entry.
	entryBytes = 10
	// headerBytes is the assumed size of the fields before the entries together with the headers of the packet.
	headerBytes = 100
)

// errMalformed means that a datagram is not a valid report of an instance.
const errMalformed = errors.ConstError("malformed datagram")

func hashID(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// mostImportant returns up to count IDs of the usage: those of engines that failed or are slow, which others must hear of, and
// then those with the most work.
func mostImportant(usage map[string]pipeline.Usage, count int) []string {
	ids := slices.SortedFunc(maps.Keys(usage), func(a, b string) int {
		first, second := usage[a], usage[b]
		switch {
		case isTroubled(first) && !isTroubled(second):
			return -1
		case isTroubled(second) && !isTroubled(first):
			return 1
		default:
			return cmp.Compare(second.WorkRate, first.WorkRate)
		}
	})
	return ids[:min(count, len(ids))]
}

// isTroubled reports whether an engine failed recently or is slow.
func isTroubled(u pipeline.Usage) bool { return u.FailedRecently || u.Slowness > 1 }

// encode returns a datagram with the header and up to maxEntries entries of the usage, the most important ones.
func encode(header message, usage map[string]pipeline.Usage) (datagram []byte, err error) {
	defer errors.DeferredAnnotatef(&err, "encode datagram")
	entries := make([]entry, 0, min(len(usage), maxEntries))
	for _, id := range mostImportant(usage, maxEntries) {
		u := usage[id]
		entries = append(entries, entry{
			ID: hashID(id), ReservedKV: toSteps(u.ReservedKV / kvPerStep), WorkRate: toSteps(u.WorkRate * stepsPerRate),
			Slowness: uint8(min(math.Round(u.Slowness*stepsPerSlowness), math.MaxUint8)), FailedRecently: u.FailedRecently,
		})
	}
	if header.Entries, err = binary.Append(nil, binary.BigEndian, entries); err != nil {
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
	if m.Name == "" || m.SameZoneRecipients < 1 || m.OtherZoneRecipients < 1 ||
		len(m.Entries)%entryBytes != 0 || len(m.Entries) > maxEntries*entryBytes {
		return "", received, errMalformed
	}
	entries := make([]entry, len(m.Entries)/entryBytes)
	if err = binary.Read(bytes.NewReader(m.Entries), binary.BigEndian, entries); err != nil {
		return "", received, err
	}
	received = report{
		zone: m.Zone, sameZoneRecipients: m.SameZoneRecipients, otherZoneRecipients: m.OtherZoneRecipients,
		usage: make(map[uint32]pipeline.Usage, len(entries)),
	}
	for _, e := range entries {
		received.usage[e.ID] = pipeline.Usage{
			ReservedKV: float64(e.ReservedKV) * kvPerStep, WorkRate: float64(e.WorkRate) / stepsPerRate, FailedRecently: e.FailedRecently,
			Slowness: float64(e.Slowness) / stepsPerSlowness,
		}
	}
	return m.Name, received, nil
}
