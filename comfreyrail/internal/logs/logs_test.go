package logs

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/event"
)

func newLogger(out *bytes.Buffer, now *time.Time) *logrus.Logger {
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&RateLimitedFormatter{Formatter: &logrus.JSONFormatter{}, Now: func() time.Time { return *now }})
	return logger
}

// TestRateLimit guards against a flood of log lines under a load of failures: ten thousand failures and successes in a second
// produce no more lines than the limits, and the next second reports the number of omitted lines.
func TestRateLimit(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1_800_000_000, 0)
	logger := newLogger(&out, &now)
	for range 10000 {
		logger.WithField("request", "r").Info("refused: no-room")
		logger.Info(event.RequestDone)
	}
	if got, want := strings.Count(out.String(), "no-room"), maxLinesPerMessage; got != want {
		t.Errorf("got %d lines of failures, want %d", got, want)
	}
	if got, want := strings.Count(out.String(), event.RequestDone), maxDoneLines; got != want {
		t.Errorf("got %d lines of successes, want %d", got, want)
	}
	out.Reset()
	now = now.Add(time.Second)
	logger.Info("next")
	if got, want := out.String(), `"refused: no-room":9700`; !strings.Contains(got, want) {
		t.Errorf("got %s, want the number of omitted lines, %s", got, want)
	}
}

// blockedWriter is an output that blocks until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	lines   int
}

func (b *blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines++
	return len(line), nil
}

// TestWriteDoesNotBlock guards against a blocked output that blocks the goroutines that log: lines beyond the buffer are
// dropped and counted.
func TestWriteDoesNotBlock(t *testing.T) {
	out := &blockedWriter{release: make(chan struct{})}
	w := NewWriter(out)
	const excess = 500
	for range lineBuffer + excess {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.dropped.Load(); got < excess-1 {
		t.Errorf("got %d dropped lines, want at least %d", got, excess-1)
	}
	close(out.release)
}
