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

// Ten thousand failures in a second leave the lines of their budget, and the next second tells how many are missing.
func TestBudgetBoundsALoadOfFailures(t *testing.T) {
	var out bytes.Buffer
	now := time.Unix(1_800_000_000, 0)
	logger := newLogger(&out, &now)
	for range 10000 {
		logger.WithField("request", "r").Info("refused: no-room")
		logger.Info(event.RequestDone)
	}
	if got, want := strings.Count(out.String(), "no-room"), linesOfKind; got != want {
		t.Errorf("got %d lines of failures, want %d", got, want)
	}
	if got, want := strings.Count(out.String(), event.RequestDone), linesOfSuccess; got != want {
		t.Errorf("got %d lines of successes, want %d", got, want)
	}
	out.Reset()
	now = now.Add(time.Second)
	logger.Info("next")
	if got, want := out.String(), `"refused: no-room":9700`; !strings.Contains(got, want) {
		t.Errorf("got %s, want the number of lines left out, %s", got, want)
	}
}

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	lines   int
}

func (b *blocked) Write(line []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	b.lines++
	return len(line), nil
}

// A blocked output holds nobody up: lines beyond the buffer are dropped and counted.
func TestWriterNeverWaits(t *testing.T) {
	out := &blocked{release: make(chan struct{})}
	w := NewWriter(out)
	const more = 500
	for range lineBuffer + more {
		if _, err := w.Write([]byte("line\n")); err != nil {
			t.Fatal(err)
		}
	}
	if got := w.dropped.Load(); got < more-1 {
		t.Errorf("got %d dropped lines, want %d at least", got, more-1)
	}
	close(out.release)
}
