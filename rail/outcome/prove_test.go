package outcome

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// backend is a model of backend servers that count the runs of one request.
type backend struct {
	runs    int
	refuses bool
	// arrived counts requests that are on their way and run later.
	arrived int
}

// deliver makes the backend server run what has arrived.
func (b *backend) deliver() {
	b.runs += b.arrived
	b.arrived = 0
}

// dispatch drives one Dispatch with a transport that writes whenever it likes, on several connections.
func dispatch(rt *rapid.T, tally *proptest.Tally, b *backend) (*Dispatch, Outcome) {
	d := new(Dispatch)
	sent := make(map[uint64]bool)
	for range rapid.IntRange(0, 8).Draw(rt, "events") {
		tally.Operations++
		switch rapid.SampledFrom([]string{"write", "write", "lost write", "deliver", "refuse", "answer"}).Draw(rt, "event") {
		case "write":
			write(rt, tally, d, b, sent)
		case "lost write":
			// The connection is found broken before it takes a byte.
			if !d.Wrote() && d.TryWrite(9) {
				tally.CountFault("broken")
				d.UndoWrite()
			}
		case "deliver":
			b.deliver()
		case "refuse":
			if b.refuses && len(sent) > 0 {
				tally.CountFault("refusal")
				d.MarkRefused()
			}
		case "answer":
			if b.runs > 0 && len(sent) > 0 && !b.refuses && !rapid.Bool().Draw(rt, "lost answer") {
				d.MarkResponded()
			}
		}
	}
	return d, d.End()
}

// write lets the transport write on some connection; a second connection repeats the request.
func write(rt *rapid.T, tally *proptest.Tally, d *Dispatch, b *backend, sent map[uint64]bool) {
	connection := rapid.Uint64Range(1, 3).Draw(rt, "connection")
	if len(sent) > 0 && !sent[connection] {
		tally.CountFault("replay")
	}
	if !d.TryWrite(connection) || sent[connection] {
		return
	}
	sent[connection] = true
	if !b.refuses {
		b.arrived++
	}
}

func TestProveNotRun(t *testing.T) {
	proptest.Run(t, "notrun", func(rt *rapid.T, tally *proptest.Tally) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		budget := rapid.IntRange(0, 2).Draw(rt, "budget")
		attempts := RetryPolicy{Idempotent: idempotent, Limit: 3, TakeRetry: func() bool { budget--; return budget >= 0 }}
		var servers []*backend
		var ended []*Dispatch
		for {
			b := &backend{refuses: rapid.Bool().Draw(rt, "refuses")}
			d, told := dispatch(rt, tally, b)
			servers, ended = append(servers, b), append(ended, d)
			if !attempts.AllowRetry(told) {
				checkTold(rt, tally, told, idempotent, servers, ended)
				return
			}
		}
	})
}

// checkTold lets the transport and the servers go on after the answer, and compares it with the runs.
func checkTold(rt *rapid.T, tally *proptest.Tally, told Outcome, idempotent bool, servers []*backend, ended []*Dispatch) {
	runs := 0
	for i, b := range servers {
		if rapid.Bool().Draw(rt, "late write") {
			tally.CountFault("late")
			if ended[i].TryWrite(4) {
				b.arrived++
			}
		}
		b.deliver()
		runs += b.runs
	}
	last := servers[len(servers)-1].runs
	switch {
	case told == NotRun && last != 0:
		tally.Failf(rt, "told not run after %d runs", last)
	case told == NotRun && !idempotent && runs != 0:
		tally.Failf(rt, "told not run after %d runs in all", runs)
	case told == Done && last != 1:
		tally.Failf(rt, "told done after %d runs", last)
	case !idempotent && runs > 1:
		tally.Failf(rt, "not idempotent and run %d times", runs)
	}
}
