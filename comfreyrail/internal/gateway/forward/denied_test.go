package forward

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// beginThenBreak sends an event and closes the connection in the middle of the response.
func beginThenBreak(conn net.Conn, request *http.Request, _ int) {
	writeStreamHeader(conn, request)
	writeEvent(conn, 1, "x")
	_ = conn.Close()
}

// Guards against a stream that ends without its last event, and a log line from which nobody learns why it wasn't continued and how much
// of it was sent.
func TestReasonAgainstAnotherAttemptIsLogged(t *testing.T) {
	noBudget := func(config *BudgetConfig) { config.Window = retry.WindowBudgetConfig{Period: 10 * time.Second} }
	tests := []struct {
		name   string
		path   string
		budget func(*BudgetConfig)
		want   string
	}{
		{"all attempts made", "/stream/", nil, "attempts"},
		{"no budget", "/stream/", noBudget, "budget"},
		{"not resumable", "/single/", nil, "once"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			logger, hook := logtest.NewNullLogger()
			g := newGatewayWith(t, gatewayOptions{budget: test.budget}, newServer(t, "one", beginThenBreak), newServer(t, "two", beginThenBreak))
			g.forwarder.config.Log = logrus.NewEntry(logger)
			if _, body, complete := g.send(t, test.path, ""); complete {
				t.Fatalf("got the whole response %q, want it broken off", body)
			}
			line := hook.LastEntry()
			if got := line.Data["events"]; got != 1 {
				t.Errorf("got %v events in the line %q, want the one that was sent", got, line.Message)
			}
			if got := line.Data["denied"]; got != test.want {
				t.Errorf("got the line %q with the reason %v, want %q", line.Message, got, test.want)
			}
		})
	}
}
