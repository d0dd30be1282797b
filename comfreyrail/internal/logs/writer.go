package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// lineBuffer is the number of lines that wait for the output.
const lineBuffer = 2048

// Writer passes lines to an output from a goroutine of its own; lines that find the buffer full are dropped and counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a Writer to the output.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, lineBuffer)}
	go w.run(out)
	return w
}

// run writes lines; there is nowhere to report a failure of the log's own output.
func (w *Writer) run(out io.Writer) {
	for line := range w.lines {
		_, _ = out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
		}
	}
}

// Write takes a line without waiting.
func (w *Writer) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}
