package control

import (
	"io"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// TestUnreadyReason guards against an instance that reports itself ready although a condition is not met, and against
// a wrong reason.
func TestUnreadyReason(t *testing.T) {
	tests := []struct {
		name     string
		snapshot Snapshot
		want     string
	}{
		{"ready", Snapshot{Probed: true}, ""},
		{"stopping has priority", Snapshot{Stopping: true, Superseded: true}, "stopping"},
		{"superseded", Snapshot{Superseded: true, Probed: true}, "later incarnation"},
		{"configuration not ready", Snapshot{ConfigUnreadyReason: "no tables", Probed: true}, "no tables"},
		{"not probed", Snapshot{}, "being asked"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.snapshot.UnreadyReason()
			if !strings.Contains(got, test.want) || (got == "") != (test.want == "") {
				t.Errorf("UnreadyReason() = %q, want %q", got, test.want)
			}
		})
	}
}

// TestSuperseded guards against an instance that stays ready after a heartbeat has reported a later incarnation of it,
// and against one that becomes unready because of an earlier incarnation or its own.
func TestSuperseded(t *testing.T) {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	c := New(Config{Log: logrus.NewEntry(logger), Checker: new(invariant.Checker)})
	go func() { _ = c.Serve(t.Context()) }()
	c.Send(t.Context(), Registered{Self: member.Member{Name: "self", Epoch: 1}})
	for epoch, want := range []bool{false, false, true} {
		responses := make(chan gossip.Message, 1)
		update := gossip.Update{Member: member.Member{Name: "self", Epoch: uint64(epoch)}}
		c.Send(t.Context(), HeartbeatReceived{At: time.Now(), Message: gossip.Message{From: "other", Updates: []gossip.Update{update}}, Response: responses})
		<-responses
		waitApplied(t.Context(), c)
		if got := c.Snapshot().Superseded; got != want {
			t.Errorf("superseded after an update with epoch %d = %v, want %v", epoch, got, want)
		}
	}
}
