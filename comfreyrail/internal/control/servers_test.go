package control

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// TestUsable guards against sending requests to a backend server that is leaving or has failed repeatedly, and against
// withholding them after a refusal by another server, a single failure or the end of leaving.
func TestUsable(t *testing.T) {
	at := func(s int) time.Time { return time.Unix(int64(s), 0) }
	listed := func(s int, entries ...kv.ListEntry) Event {
		return InstanceListRead{Entries: entries, SentAt: at(s), At: at(s)}
	}
	reported := func(s int, leaving bool) Event {
		return ServerReported{Name: "a", Status: engine.Status{Server: "a", Leaving: leaving}, SentAt: at(s), At: at(s)}
	}
	tests := []struct {
		name   string
		events []Event
		// hidden changes the state without updating the snapshot, to simulate a bug.
		hidden     func(c *Control)
		want       bool
		violations uint64
	}{
		{"healthy", nil, nil, true, 0},
		{"refusal", []Event{ServerRefused{Address: "127.0.0.1:1", SentAt: at(2), At: at(2)}}, nil, false, 0},
		{"refusal of another server", []Event{ServerRefused{Address: "127.0.0.1:2", SentAt: at(2), At: at(2)}}, nil, true, 0},
		{"report sent before the refusal", []Event{ServerRefused{Address: "127.0.0.1:1", SentAt: at(2), At: at(3)}, reported(2, false)}, nil, false, 0},
		{"leaving ended", []Event{reported(2, true), reported(3, false)}, nil, true, 0},
		{"leaving in the platform's list", []Event{listed(2, kv.ListEntry{Name: "a", Leaving: true}), reported(3, false)}, nil, false, 0},
		{"one failure", []Event{ServerFailed{Name: "a", SentAt: at(2), At: at(2)}}, nil, true, 0},
		{"three failures", []Event{
			ServerFailed{Name: "a", SentAt: at(2), At: at(2)}, ServerFailed{Name: "a", SentAt: at(3), At: at(3)}, ServerFailed{Name: "a", SentAt: at(4), At: at(4)},
		}, nil, false, 0},
		{"snapshot not updated", []Event{listed(3)}, func(c *Control) {
			c.serverTracker.drains.ApplyResponse("a", true, at(2), at(2))
		}, false, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			checker := new(invariant.Checker)
			c := New(Config{Log: logrus.NewEntry(log), Checker: checker, Observer: "self", ListLag: 10 * time.Second})
			next := *c.Snapshot()
			pool := table.Pool{Name: "p", Kind: table.PlainPool, Servers: []table.Server{{Name: "a", Address: "127.0.0.1:1"}}}
			next.Tables = &table.Tables{Generation: 1, Pools: []table.Pool{pool}}
			c.updateServers(&next)
			reported(1, false).apply(c, &next)
			if test.hidden != nil {
				test.hidden(c)
			}
			for _, event := range test.events {
				event.apply(c, &next)
			}
			if got := next.Usable("a"); got != test.want {
				t.Errorf("usable = %t, want %t", got, test.want)
			}
			if got := checker.Violations(); got != test.violations {
				t.Errorf("%d violations, want %d", got, test.violations)
			}
		})
	}
}
