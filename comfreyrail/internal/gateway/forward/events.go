package forward

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// errPartialEvent is the error of a stream that ended in the middle of an event.
const errPartialEvent = errors.ConstError("the stream ended within an event")

// errEventTooLarge is the error of a stream with an event that is larger than limit.EventBytes.
const errEventTooLarge = errors.ConstError("an event is too large")

// errEmptyStream is the error of a stream without any event whose length is not given, so that only the end of its connection
// ended it.
const errEmptyStream = errors.ConstError("the connection ended before the first event")

// eventWriter writes complete events to a caller and records the ID of the last one.
type eventWriter struct {
	w          http.ResponseWriter
	headerSent bool
	lastID     string
	pending    *limit.Buffer // beginning of the next event
	count      int

	resumed      bool // whether the current attempt continues an earlier one and the last event ID before it is a number
	resumedAfter int  // that ID
}

// newEventWriter returns an eventWriter for a stream whose caller has the events up to lastID. Large events take their
// memory from the budget. Close must be called at the end.
func newEventWriter(w http.ResponseWriter, lastID string, budget *limit.Budget) *eventWriter {
	return &eventWriter{w: w, lastID: lastID, pending: limit.NewBuffer(budget, limit.EventBytes+relayBufferBytes)}
}

// close returns the memory of the pending event.
func (e *eventWriter) close() { e.pending.Release() }

// beginAttempt begins an attempt: it sends the response headers of the first attempt and ignores those of later ones.
func (e *eventWriter) beginAttempt(header http.Header) {
	e.pending.Reset()
	if e.headerSent {
		e.resumedAfter, e.resumed = eventNumber(e.lastID)
		return
	}
	e.headerSent = true
	copyHeader(e.w.Header(), header)
	e.w.WriteHeader(http.StatusOK)
}

// write buffers bytes of the stream, and writes and flushes the complete events. It returns errEventTooLarge if an event
// is larger than limit.EventBytes, and another error if no memory is left for it or if writing to the caller fails.
func (e *eventWriter) write(b []byte) (err error) {
	searchFrom := max(len(e.pending.Bytes())-1, 0) // a line feed there may begin the end of the event
	if _, err = e.pending.Write(b); err != nil {
		return errors.Annotate(err, "buffer event")
	}
	content := e.pending.Bytes()
	end := bytes.LastIndex(content[searchFrom:], []byte("\n\n"))
	if end < 0 {
		if len(content) > limit.EventBytes {
			return errEventTooLarge
		}
		return nil
	}
	end += searchFrom + len("\n\n")
	complete := content[:end]
	if e.resumed {
		complete = e.dropDuplicates(complete)
	}
	e.record(complete)
	if _, err = e.w.Write(complete); err != nil {
		return err
	}
	e.pending.Skip(end)
	return http.NewResponseController(e.w).Flush()
}

// eventNumber returns the ID of an event as a number, and false if it is not a number.
func eventNumber(id string) (n int, ok bool) {
	n, err := strconv.Atoi(id)
	return n, err == nil
}

// dropDuplicates returns the events that follow the last event of the earlier attempt, and those without a numeric ID. A
// server may restart the stream from its first event instead of resuming it.
func (e *eventWriter) dropDuplicates(complete []byte) (rest []byte) {
	for _, event := range bytes.SplitAfter(complete, []byte("\n\n")) {
		if n, ok := eventNumber(findLastID(event)); !ok || n > e.resumedAfter {
			rest = append(rest, event...)
		}
	}
	return rest
}

// findLastID returns the last event ID in a block of events, or the empty string if there is none.
func findLastID(block []byte) (id string) {
	for _, line := range bytes.Split(block, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// record counts complete events and stores the last ID among them.
func (e *eventWriter) record(complete []byte) {
	e.count += bytes.Count(complete, []byte("\n\n"))
	if id := findLastID(complete); id != "" {
		e.lastID = id
	}
}

// finish returns errPartialEvent if the stream ended in the middle of an event.
func (e *eventWriter) finish() error {
	if len(e.pending.Bytes()) > 0 {
		return errPartialEvent
	}
	return nil
}
