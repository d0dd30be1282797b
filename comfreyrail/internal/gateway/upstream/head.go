package upstream

import (
	"bytes"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// Errors of responses whose heads exceed a limit.
const (
	errHeadTooLarge      = errors.ConstError("the response's headers are too large")
	errInterimResponses  = errors.ConstError("too many interim responses")
	errNoMemoryForHead   = errors.ConstError("no memory left for the response's headers")
	errUnexpectedUpgrade = errors.ConstError("unexpected switch of protocols")
)

// headMeter counts the bytes and lines of a response's heads as they arrive, and takes the memory for large ones from a
// budget.
type headMeter struct {
	budget    *limit.Budget
	active    bool // whether the end of the current head has yet to arrive
	bytes     int
	lines     int
	lineBytes int  // bytes of the current line
	lastCR    bool // whether the last of them is a carriage return
	taken     int  // bytes taken from the budget
	err       error
}

// begin starts counting the heads of a response.
func (m *headMeter) begin() { m.active, m.bytes, m.lines, m.lineBytes, m.lastCR = true, 0, 0, 0, false }

// next continues with the head that follows an interim response. The bytes of it that have already arrived are given.
func (m *headMeter) next(arrived []byte) error {
	m.active, m.lineBytes, m.lastCR = true, 0, false
	return m.count(arrived)
}

// count counts bytes that arrived, up to the end of the head. Once it has returned an error, it always returns that error.
func (m *headMeter) count(arrived []byte) error {
	if m.err == nil {
		m.err = m.add(arrived)
	}
	return m.err
}

func (m *headMeter) add(arrived []byte) error {
	for m.active && len(arrived) > 0 {
		line, rest, complete := bytes.Cut(arrived, []byte("\n"))
		m.bytes += len(arrived) - len(rest)
		m.lineBytes += len(line)
		if len(line) > 0 {
			m.lastCR = line[len(line)-1] == '\r'
		}
		if complete {
			m.lines++
			m.active = m.lineBytes > 1 || m.lineBytes == 1 && !m.lastCR
			m.lineBytes, m.lastCR = 0, false
		}
		arrived = rest
	}
	if m.bytes > limit.HeadBytes || m.lines > limit.HeadLines {
		return errHeadTooLarge
	}
	if needed := m.bytes - limit.FreeBytes - m.taken; needed > 0 {
		if !m.budget.Take(needed) {
			return errNoMemoryForHead
		}
		m.taken += needed
	}
	return nil
}

// release returns the memory to the budget.
func (m *headMeter) release() {
	m.budget.Return(m.taken)
	m.taken = 0
}
