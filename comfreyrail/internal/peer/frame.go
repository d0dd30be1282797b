package peer

import (
	"encoding/binary"
	"fmt"
	"io"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

// maxFrameBytes is the greatest size of one request or answer: a chunk of the tables and its envelope.
const maxFrameBytes = 2 << 20

// Limits of decoded values.
const (
	maxElements = 1 << 16
	maxNesting  = 16
)

// Kind names what a request asks for.
type Kind string

// request is one call as it is sent.
type request struct {
	Kind Kind            `cbor:"1,keyasint"`
	Body cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// answer is the answer to a call as it is sent.
type answer struct {
	Error string          `cbor:"1,keyasint,omitempty"`
	Body  cbor.RawMessage `cbor:"2,keyasint,omitempty"`
}

// decoding refuses what no instance sends.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		DupMapKey: cbor.DupMapKeyEnforcedAPF, IndefLength: cbor.IndefLengthForbidden,
		MaxArrayElements: maxElements, MaxMapPairs: maxElements, MaxNestedLevels: maxNesting,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// Decode reads a message that came from another instance.
func Decode(content []byte, into any) (err error) {
	defer errors.DeferredAnnotatef(&err, "decode message")
	return decoding.Unmarshal(content, into)
}

// writeFrame writes a value with its length.
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

// readFrame reads a value written by writeFrame.
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
