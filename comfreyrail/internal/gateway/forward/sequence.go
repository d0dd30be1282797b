package forward

import (
	"bytes"
	"strconv"
)

// sequence is the state of the numeric IDs of the events that a caller has, against which the events of a resumed stream are checked.
type sequence struct {
	last      int  // ID of the last event
	known     bool // whether that ID is a number
	step      int  // difference between the last two IDs, zero if there are fewer
	irregular bool // whether the difference between IDs has varied
}

// add appends the ID of an event.
func (s *sequence) add(id string) {
	n, ok := eventNumber(id)
	if ok && s.known {
		step := n - s.last
		s.irregular = s.irregular || s.step != 0 && step != s.step
		s.step = step
	}
	s.last, s.known = n, ok
}

// skips reports whether events are missing between the last one and the one with the ID n. It returns false if that is unknown
// because the difference between IDs varies or no two of them are known.
func (s *sequence) skips(n int) bool {
	return s.known && s.step > 0 && !s.irregular && n > s.last+s.step
}

// eventNumber returns the ID of an event as a number; it returns false if the ID is none.
func eventNumber(id string) (n int, ok bool) {
	n, err := strconv.Atoi(id)
	return n, err == nil
}

// eventEnd is the end of an event: the line feed of its last line and an empty line.
const eventEnd = "\n\n"

// firstEvent returns a block of lines up to the end of its first event, or the whole block if no event ends in it.
func firstEvent(block []byte) []byte {
	before, _, _ := bytes.Cut(block, []byte(eventEnd))
	return block[:min(len(before)+len(eventEnd), len(block))]
}

// findLastID returns the last event ID in a block of lines, or the empty string if there is none.
func findLastID(block []byte) (id string) {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			id = string(bytes.TrimSpace(value))
		}
	}
	return id
}

// isComment reports whether all lines of a block are comments or empty, so that it is no event.
func isComment(block []byte) bool {
	for line := range bytes.SplitSeq(block, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}
