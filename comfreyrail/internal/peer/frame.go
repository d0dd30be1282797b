package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxFrameBytes is the maximum size of an encoded request or response. A chunk of the tables with its envelope
// is smaller.
const maxFrameBytes = 2 << 20

// Limits on decoded values.
const (
	// maxElements is the maximum number of elements of an array and of pairs of a map.
	maxElements = 1 << 16
	// maxNesting is the maximum nesting depth.
	maxNesting = 16
)

// Kind is the name of a call; it selects the handler.
type Kind string

// request is the encoded form of a call.
type request struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// response is the encoded form of the response to a call. Error is empty if the call succeeded.
type response struct {
	Error string          `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// decodeMode rejects messages that no instance sends: duplicate map keys, indefinite lengths and values beyond the limits.
var decodeMode = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode decodes a CBOR message from another instance into the value that into points to.
func Decode(content []byte, into any) (err error) {
	defer errors.DeferredAnnotatef(&err, "decode message")
	return decodeMode.Unmarshal(content, into)
}

// writeFrame writes a value as CBOR, preceded by its length as a big-endian 32-bit number.
func writeFrame(w io.Writer, value any) (err error) {
	defer errors.DeferredAnnotatef(&err, "write frame")
	content, err := cbor.Marshal(value)
	if err != nil {
		return err
	}
	if len(content) > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds %d", len(content), maxFrameBytes)
	}
	frame := make([]byte, 4, 4+len(content))
	binary.BigEndian.PutUint32(frame, uint32(len(content)))
	_, err = w.Write(append(frame, content...))
	return err
}

// readFrame reads a frame written by writeFrame. It checks the length before it allocates memory.
func readFrame(r io.Reader, into any) (err error) {
	defer errors.DeferredAnnotatef(&err, "read frame")
	var length [4]byte
	if _, err = io.ReadFull(r, length[:]); err != nil {
		return err
	}
	size := binary.BigEndian.Uint32(length[:])
	if size > maxFrameBytes {
		return fmt.Errorf("frame of %d bytes exceeds %d", size, maxFrameBytes)
	}
	content := make([]byte, size)
	if _, err = io.ReadFull(r, content); err != nil {
		return err
	}
	return Decode(content, into)
}
