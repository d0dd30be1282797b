package logs

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/event"
)

// Maximum numbers of lines with the same message that are written in a second.
const (
	// maxDoneLines is the limit for the lines of requests that were served.
	maxDoneLines = 100
	// maxLinesPerMessage is the limit for every other message.
	maxLinesPerMessage = 300
)

// RateLimitedFormatter formats lines with another formatter and omits lines beyond the limit per second for their message.
//
// The first line of a later second is preceded by a line with the number of omitted lines for each message.
type RateLimitedFormatter struct {
	// Formatter formats the lines that are written.
	Formatter logrus.Formatter
	// Now returns the current time.
	Now func() time.Time

	mu      sync.Mutex
	second  int64
	written map[string]int // lines written in this second, by message
	omitted map[string]int // lines omitted in this second, by message
}

// Format returns the formatted line, or nothing if it is omitted. The line with the number of omitted lines may precede it.
func (f *RateLimitedFormatter) Format(entry *logrus.Entry) (line []byte, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var summary []byte
	if second := f.Now().Unix(); second != f.second || f.written == nil {
		summary, err = f.summary(entry)
		f.second, f.written, f.omitted = second, make(map[string]int), make(map[string]int)
		if err != nil {
			return nil, err
		}
	}
	limit := maxLinesPerMessage
	if entry.Message == event.RequestDone {
		limit = maxDoneLines
	}
	if f.written[entry.Message] >= limit {
		f.omitted[entry.Message]++
		return summary, nil
	}
	f.written[entry.Message]++
	line, err = f.Formatter.Format(entry)
	return slices.Concat(summary, line), err
}

// summary returns a line with the number of omitted lines for each message in the last second that had log lines, or nil if
// none was omitted.
func (f *RateLimitedFormatter) summary(entry *logrus.Entry) ([]byte, error) {
	if len(f.omitted) == 0 {
		return nil, nil
	}
	line := entry.Logger.WithField("lines", f.omitted)
	line.Data["instance"] = entry.Data["instance"]
	line.Level, line.Message, line.Time = logrus.WarnLevel, "log lines left out", entry.Time
	return f.Formatter.Format(line)
}
