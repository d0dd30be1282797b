package logs

import (
	"fmt"
	"io"
	"sync/atomic"
)

// lineBuffer is the maximum number of lines that wait for the output.
const lineBuffer = 2048

// Writer buffers lines and writes them to an output from a separate goroutine. If the buffer is full, lines are dropped and
// counted.
type Writer struct {
	lines   chan []byte
	dropped atomic.Uint64
}

// NewWriter returns a Writer to the output and starts its goroutine, which never ends.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, lineBuffer)}
	go w.run(out)
	return w
}

// run writes the buffered lines. It ignores errors, since a failure of the log output cannot be reported anywhere.
func (w *Writer) run(out io.Writer) {
	for line := range w.lines {
		_, _ = out.Write(line)
		if dropped := w.dropped.Swap(0); dropped > 0 {
			_, _ = fmt.Fprintf(out, "{\"level\":\"warning\",\"msg\":\"log lines dropped\",\"lines\":%d}\n", dropped)
		}
	}
}

// Write buffers a copy of the line without blocking. It never returns an error.
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
