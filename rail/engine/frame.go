package engine

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/juju/errors"
)

// FinishReason is the reason why an answer is complete.
type FinishReason string

const (
	// FinishLength means that the answer reached the maximum number of tokens that the caller set.
	FinishLength FinishReason = "length"
	// FinishStop means that the model ended the answer.
	FinishStop FinishReason = "stop"
)

// KeepAliveInterval is the maximum time between two frames of a stream whose last stage is alive.
const KeepAliveInterval = 100 * time.Millisecond

// MaxFrameBytes is the maximum size of an encoded frame in bytes.
const MaxFrameBytes = 64 << 10

// DecodeFrame decodes one frame. It returns an error if the line is longer than MaxFrameBytes or is not exactly one
// valid frame.
func DecodeFrame(line []byte) (frame Frame, err error) {
	defer errors.DeferredAnnotatef(&err, "decode frame")
	if len(line) > MaxFrameBytes {
		return Frame{}, fmt.Errorf("%d bytes exceed %d", len(line), MaxFrameBytes)
	}
	if err = json.Unmarshal(line, &frame); err != nil {
		return Frame{}, err
	}
	if frame.Attempt < 1 || frame.Position < 0 {
		return Frame{}, fmt.Errorf("attempt %d, position %d out of range", frame.Attempt, frame.Position)
	}
	return frame, nil
}
