package forward

import (
	"bytes"
	"net/http"
	"strconv"

	"github.com/juju/errors"
)

// errCut means that a stream ended within an event.
const errCut = errors.ConstError("the stream ended within an event")

// maxEvent is the greatest size of an event in bytes.
const maxEvent = 1 << 20

// events passes whole events on to a caller and remembers the id of the last one.
type events struct {
	w       http.ResponseWriter
	begun   bool
	lastID  string
	pending []byte
	count   int

	resumed      bool // the run goes on after another one
	resumedAfter int  // the last event of that one
}

// start sends the headers of the first run; those of later ones are dropped.
func (e *events) start(header http.Header) {
	e.pending = e.pending[:0]
	if e.begun {
		e.resumedAfter, e.resumed = number(e.lastID)
		return
	}
	e.begun = true
	copyHeader(e.w.Header(), header)
	e.w.WriteHeader(http.StatusOK)
}

// write takes bytes of the stream and passes on the events that are whole.
func (e *events) write(b []byte) (err error) {
	e.pending = append(e.pending, b...)
	end := bytes.LastIndex(e.pending, []byte("\n\n"))
	if end < 0 {
		if len(e.pending) > maxEvent {
			return errors.New("an event is too large")
		}
		return nil
	}
	whole := e.pending[:end+2]
	if e.resumed {
		whole = e.withoutRepeats(whole)
	}
	e.note(whole)
	if _, err = e.w.Write(whole); err != nil {
		return err
	}
	e.pending = append(e.pending[:0], e.pending[end+2:]...)
	return http.NewResponseController(e.w).Flush()
}

// number returns the id of an event as a number.
func number(id string) (n int, ok bool) {
	n, err := strconv.Atoi(id)
	return n, err == nil
}

// withoutRepeats returns the events that come after the last one of the run before; a server may begin anew instead of
// going on.
func (e *events) withoutRepeats(whole []byte) (rest []byte) {
	for _, event := range bytes.SplitAfter(whole, []byte("\n\n")) {
		if n, ok := number(idOf(event)); !ok || n > e.resumedAfter {
			rest = append(rest, event...)
		}
	}
	return rest
}

// idOf returns the id of the last event in a block, empty for none.
func idOf(block []byte) (id string) {
	for _, line := range bytes.Split(block, []byte("\n")) {
		if found, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(found))
		}
	}
	return id
}

// note remembers the last id among whole events.
func (e *events) note(whole []byte) {
	e.count += bytes.Count(whole, []byte("\n\n"))
	if id := idOf(whole); id != "" {
		e.lastID = id
	}
}

// finish ends a stream whose last event is whole.
func (e *events) finish() error {
	if len(e.pending) > 0 {
		return errCut
	}
	return nil
}
