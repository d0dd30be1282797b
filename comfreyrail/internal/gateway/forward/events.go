package forward

import (
	"bytes"
	"net/http"
	"strings"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// errPartialEvent is the error of a stream that ended in the middle of an event.
const errPartialEvent = errors.ConstError("the stream ended within an event")

// errEventTooLarge is the error of a stream with an event that is larger than limit.EventBytes.
const errEventTooLarge = errors.ConstError("an event is too large")

// errEmptyStream is the error of a response of unknown length whose connection ended before its first event.
const errEmptyStream = errors.ConstError("the connection ended before the first event")

// Errors of a resumed stream whose response does not continue the one that the caller has.
const (
	errOtherContent    = errors.ConstError("the response has content of another type than the stream")
	errUnexpectedEvent = errors.ConstError("an event cannot follow the stream's last one")
	errMissingEvent    = errors.ConstError("events are missing after the stream's last one")
	errShorterStream   = errors.ConstError("the stream ended before an event that the caller has")
)

// eventWriter writes complete events to a caller and records their IDs. It writes the events of a later attempt only if they
// continue those of the earlier ones.
type eventWriter struct {
	w          http.ResponseWriter
	status     int
	header     http.Header // of the response, which is sent with the first event
	headerSent bool
	begin      func() error // called before the response begins, which it prevents by an error; nil does nothing
	lastID     string
	ids        sequence
	pending    *limit.Buffer // beginning of the next event
	count      int           // number of events and comments written

	positionUnknown bool // whether the last event has no ID

	resumed bool // whether the current attempt continues an earlier one
	behind  bool // whether the attempt's last event precedes the last one that the caller has
}

// isInvalidEvent reports whether an error means that a server sent an event that must not be relayed.
func isInvalidEvent(err error) bool {
	return errors.Is(err, errEventTooLarge) || errors.Is(err, errUnexpectedEvent) || errors.Is(err, errMissingEvent)
}

// newEventWriter returns an eventWriter for a stream whose caller has the events up to lastID. Large events take their
// memory from the budget. Close must be called at the end.
func newEventWriter(w http.ResponseWriter, lastID string, budget *limit.Budget) *eventWriter {
	e := &eventWriter{w: w, lastID: lastID, pending: limit.NewBuffer(budget, limit.EventBytes+relayBufferBytes)}
	e.ids.add(lastID)
	return e
}

// close returns the memory of the pending event.
func (e *eventWriter) close() { e.pending.Release() }

// beginAttempt begins an attempt, whose headers are sent with its first event unless an earlier attempt's have been. It returns
// an error if the response cannot continue the stream.
func (e *eventWriter) beginAttempt(status int, header http.Header) error {
	e.pending.Reset()
	e.resumed, e.behind = e.headerSent, false
	if e.resumed {
		return e.checkHead(status, header)
	}
	e.status, e.header = status, header
	return nil
}

// sendHeader sends the status and headers of the response unless they have been sent. Until then the caller can get an error
// response. It returns the error of begin.
func (e *eventWriter) sendHeader() error {
	if e.headerSent {
		return nil
	}
	if err := e.beginResponse(); err != nil {
		return err
	}
	e.headerSent = true
	copyHeader(e.w.Header(), e.header)
	e.w.WriteHeader(e.status)
	return nil
}

// beginResponse must be called once before the response to the caller begins, which its error prevents.
func (e *eventWriter) beginResponse() error {
	if e.begin == nil {
		return nil
	}
	return e.begin()
}

// copyPosition returns a copy for another goroutine, which can check what may follow the events so far but cannot write.
func (e *eventWriter) copyPosition() *eventWriter {
	position := *e
	position.pending, position.w, position.resumed = nil, nil, e.headerSent
	return &position
}

// checkHead returns an error if a response with the status and headers cannot continue the stream, or cannot begin it if nothing has
// been sent.
func (e *eventWriter) checkHead(status int, header http.Header) error {
	switch {
	case status != http.StatusOK:
		return errors.Errorf("the server responded with status %d to a resumed stream", status)
	case e.headerSent && !sameContent(e.header, header):
		return errOtherContent
	default:
		return nil
	}
}

// sameContent reports whether the bodies of two responses have the same media type and the same encoding.
func sameContent(first, second http.Header) bool {
	return strings.EqualFold(mediaType(first), mediaType(second)) && first.Get("Content-Encoding") == second.Get("Content-Encoding")
}

// mediaType returns the Content-Type header without its parameters.
func mediaType(header http.Header) string {
	name, _, _ := strings.Cut(header.Get("Content-Type"), ";")
	return strings.TrimSpace(name)
}

// write buffers bytes of the stream, and writes and flushes the complete events. It returns errEventTooLarge if an event
// is larger than limit.EventBytes, and another error if no memory is left for it, if it does not continue a resumed stream or if
// writing to the caller fails. An event within limit.FreeBytes needs no memory of the budget, whatever arrives together with it.
func (e *eventWriter) write(b []byte) (err error) {
	for len(b) > 0 && err == nil {
		n := len(b)
		if free := limit.FreeBytes - len(e.pending.Bytes()); free > 0 {
			n = min(n, free)
		}
		err = e.writePart(b[:n])
		b = b[n:]
	}
	return err
}

func (e *eventWriter) writePart(b []byte) (err error) {
	searchFrom := max(len(e.pending.Bytes())-1, 0) // a line feed there may begin the end of the event
	if _, err = e.pending.Write(b); err != nil {
		return errors.Annotate(err, "buffer event")
	}
	content := e.pending.Bytes()
	end := bytes.LastIndex(content[searchFrom:], []byte(eventEnd))
	if end < 0 {
		if len(content) > limit.EventBytes {
			return errEventTooLarge
		}
		return nil
	}
	end += searchFrom + len(eventEnd)
	accepted, err := e.accept(content[:end])
	if len(accepted) == 0 {
		e.pending.Skip(end)
		return err
	}
	if beginErr := e.sendHeader(); beginErr != nil {
		return beginErr
	}
	if _, writeErr := e.w.Write(accepted); writeErr != nil {
		return writeErr
	}
	e.pending.Skip(end)
	if flushErr := http.NewResponseController(e.w).Flush(); flushErr != nil {
		return flushErr
	}
	return err
}

// accept records the complete events of a block and returns those to write, in the memory of the block. At the first event that does
// not continue the stream it returns an error and the events before.
func (e *eventWriter) accept(block []byte) (accepted []byte, err error) {
	accepted = block[:0]
	for len(block) > 0 {
		event := firstEvent(block)
		block = block[len(event):]
		var repeated bool
		if repeated, err = e.checkResumed(event); err != nil {
			return accepted, err
		}
		if !repeated {
			e.record(event)
			accepted = append(accepted, event...)
		}
	}
	return accepted, nil
}

// checkResumed reports whether to drop an event of a resumed stream, because it is a comment or the caller already has it: a server may
// restart the stream from its first event instead of resuming it. It returns an error if the event cannot follow those before.
func (e *eventWriter) checkResumed(event []byte) (repeated bool, err error) {
	if !e.resumed || e.lastID == "" {
		return false, nil
	}
	if isComment(event) {
		return true, nil
	}
	id := findLastID(event)
	n, isNumber := eventNumber(id)
	if id == "" || e.ids.known && !isNumber {
		return false, errUnexpectedEvent
	}
	if !e.ids.known {
		e.behind = false
		return false, nil
	}
	e.behind = n < e.ids.last
	if e.ids.skips(n) {
		return false, errMissingEvent
	}
	return n <= e.ids.last, nil
}

// record counts an event and stores its ID.
func (e *eventWriter) record(event []byte) {
	e.count++
	if isComment(event) {
		return
	}
	id := findLastID(event)
	e.ids.add(id)
	e.positionUnknown = id == ""
	if id != "" {
		e.lastID = id
	}
}

// finish writes the empty lines after the last event. It returns an error if the stream ended in the middle of an event or before
// the last event that the caller has, or if writing fails.
func (e *eventWriter) finish() error {
	rest := e.pending.Bytes()
	switch {
	case len(bytes.Trim(rest, "\n")) > 0:
		return errPartialEvent
	case e.behind:
		return errShorterStream
	}
	if err := e.sendHeader(); err != nil {
		return err
	}
	_, err := e.w.Write(rest)
	return err
}
