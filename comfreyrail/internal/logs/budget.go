package logs

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Lines of one kind that are written in a second.
const (
	// linesOfSuccess holds for requests that were served.
	linesOfSuccess = 100
	// linesOfKind holds for every other kind of line.
	linesOfKind = 300
)

// RateLimitedFormatter formats lines by another formatter and leaves out those of a kind, that is of one message, beyond its budget of
// the second; what was left out is told in the next second.
type RateLimitedFormatter struct {
	// Formatter formats the lines that are written.
	Formatter logrus.Formatter
	// Now is the clock.
	Now func() time.Time

	mu      sync.Mutex
	second  int64
	written map[string]int
	left    map[string]int
}

// Format returns the line, or nothing if it is left out.
func (b *RateLimitedFormatter) Format(entry *logrus.Entry) (line []byte, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	var left []byte
	if second := b.Now().Unix(); second != b.second || b.written == nil {
		left, err = b.tell(entry)
		b.second, b.written, b.left = second, make(map[string]int), make(map[string]int)
		if err != nil {
			return nil, err
		}
	}
	most := linesOfKind
	if entry.Message == event.RequestDone {
		most = linesOfSuccess
	}
	if b.written[entry.Message] >= most {
		b.left[entry.Message]++
		return left, nil
	}
	b.written[entry.Message]++
	line, err = b.Formatter.Format(entry)
	return slices.Concat(left, line), err
}

// tell returns a line that says what was left out in the second before.
func (b *RateLimitedFormatter) tell(entry *logrus.Entry) ([]byte, error) {
	if len(b.left) == 0 {
		return nil, nil
	}
	summary := entry.Logger.WithField("lines", b.left)
	summary.Data["instance"] = entry.Data["instance"]
	summary.Level, summary.Message, summary.Time = logrus.WarnLevel, "log lines left out", entry.Time
	return b.Formatter.Format(summary)
}
