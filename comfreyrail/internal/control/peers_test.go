package control

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/engine"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// TestHeartbeatMarks guards against marks of leaving servers that never reach a partner: heartbeats must carry them
// until the partner responds with the same hash, and again after a failed heartbeat.
func TestHeartbeatMarks(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := New(Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker), Observer: "self"})
	go func() { _ = c.Serve(t.Context()) }()
	now := time.Now()
	other := member.Member{Name: "other", Zone: "a", Epoch: 2}
	c.Send(t.Context(), Registered{Self: member.Member{Name: "self", Zone: "a", Epoch: 1}})
	c.Send(t.Context(), MembersListed{At: now, Members: []member.Member{other}})
	installTables(t, c, new(table.Head), &table.Tables{Generation: 1, Pools: []table.Pool{
		{Name: "bookings", Kind: table.PlainPool, Servers: []table.Server{{Name: "plain", Address: "127.0.0.1:1", Zone: "a"}}},
	}})
	heartbeat := func() gossip.Message {
		now = now.Add(gossip.DefaultInterval)
		heartbeats := make(chan []gossip.Heartbeat, 1)
		c.Send(t.Context(), HeartbeatsDue{At: now, Heartbeats: heartbeats})
		due := <-heartbeats
		if got, want := len(due), 1; got != want {
			t.Fatalf("heartbeats = %d, want %d", got, want)
		}
		return due[0].Message
	}
	respond := func(hash uint64) {
		c.Send(t.Context(), HeartbeatSucceeded{At: now, Name: "other", Response: gossip.Message{From: "other", Epoch: 2, MarksHash: hash}})
	}
	leaving := engine.Status{Server: "plain", Leaving: true}
	steps := []struct {
		name   string
		before func(last gossip.Message)
		want   int
	}{
		{"no server leaves", func(gossip.Message) {}, 0},
		{"a server leaves", func(gossip.Message) {
			respond(0)
			c.Send(t.Context(), ServerReported{Name: "plain", Status: leaving, SentAt: now, At: now})
		}, 1},
		{"partner has no marks", func(gossip.Message) { respond(0) }, 1},
		{"partner has the same marks", func(last gossip.Message) { respond(last.MarksHash) }, 0},
		{"heartbeat fails", func(gossip.Message) { c.Send(t.Context(), HeartbeatFailed{At: now, Name: "other", Epoch: 2}) }, 1},
	}
	var last gossip.Message
	for _, step := range steps {
		step.before(last)
		last = heartbeat()
		if got := len(last.Marks); got != step.want {
			t.Errorf("%s: marks = %d, want %d", step.name, got, step.want)
		}
	}
}
