package outcome

import (
	"testing"

	"pgregory.net/rapid"

	"github.com/comfreyrail/comfreyrail/rail/proptest"
)

// backend is a simulated backend server that counts the runs of one request.
type backend struct {
	runs     int
	refusing bool
	// pending is the number of copies of the request that were sent and have not run yet.
	pending int
}

// deliver makes the backend server run the pending copies of the request.
func (b *backend) deliver() {
	b.runs += b.pending
	b.pending = 0
}

// simulateDispatch runs one Dispatch with a transport that writes at random times on several connections.
func simulateDispatch(rt *rapid.T, tally *proptest.Tally, b *backend) (*Dispatch, Outcome) {
	d := new(Dispatch)
	sent := make(map[uint64]bool)
	for range rapid.IntRange(0, 8).Draw(rt, "events") {
		tally.Operations++
		switch rapid.SampledFrom([]string{"write", "write", "lost write", "deliver", "refuse", "answer"}).Draw(rt, "event") {
		case "write":
			write(rt, tally, d, b, sent)
		case "lost write":
			// The connection breaks before it accepts a byte.
			if !d.Wrote() && d.TryWrite(9) {
				tally.Count("broken")
				d.UndoWrite()
			}
		case "deliver":
			b.deliver()
		case "refuse":
			if b.refusing && len(sent) > 0 {
				tally.Count("refusal")
				d.MarkRefused()
			}
		case "answer":
			if b.runs > 0 && len(sent) > 0 && !b.refusing && !rapid.Bool().Draw(rt, "lost answer") {
				d.MarkResponded()
			}
		}
	}
	return d, d.End()
}

// write writes on a random connection; a write on a second connection would repeat the request.
func write(rt *rapid.T, tally *proptest.Tally, d *Dispatch, b *backend, sent map[uint64]bool) {
	connection := rapid.Uint64Range(1, 3).Draw(rt, "connection")
	if len(sent) > 0 && !sent[connection] {
		tally.Count("replay")
	}
	if !d.TryWrite(connection) || sent[connection] {
		return
	}
	sent[connection] = true
	if !b.refusing {
		b.pending++
	}
}

// TestProveNotRun checks over random dispatches and retries, with writes on several connections and late writes, that a
// dispatch reported as NotRun did not run the request, that one reported as Done ran it once, and that a request that
// is not idempotent runs at most once.
func TestProveNotRun(t *testing.T) {
	proptest.Run(t, "notrun", func(rt *rapid.T, tally *proptest.Tally) {
		idempotent := rapid.Bool().Draw(rt, "idempotent")
		budget := rapid.IntRange(0, 2).Draw(rt, "budget")
		policy := RetryPolicy{Idempotent: idempotent, MaxDispatches: 3, TakeRetry: func() bool { budget--; return budget >= 0 }}
		var servers []*backend
		var dispatches []*Dispatch
		for {
			b := &backend{refusing: rapid.Bool().Draw(rt, "refuses")}
			d, reported := simulateDispatch(rt, tally, b)
			servers, dispatches = append(servers, b), append(dispatches, d)
			if !policy.AllowRetry(reported) {
				checkOutcome(rt, tally, reported, idempotent, servers, dispatches)
				return
			}
		}
	})
}

// checkOutcome adds late writes, runs all pending copies of the request, and compares the reported outcome with the runs.
func checkOutcome(rt *rapid.T, tally *proptest.Tally, reported Outcome, idempotent bool, servers []*backend, dispatches []*Dispatch) {
	runs := 0
	for i, b := range servers {
		if rapid.Bool().Draw(rt, "late write") {
			tally.Count("late")
			if dispatches[i].TryWrite(4) {
				b.pending++
			}
		}
		b.deliver()
		runs += b.runs
	}
	lastRuns := servers[len(servers)-1].runs
	switch {
	case reported == NotRun && lastRuns != 0:
		tally.Failf(rt, "reported not run after %d runs", lastRuns)
	case reported == NotRun && !idempotent && runs != 0:
		tally.Failf(rt, "reported not run after %d runs in all dispatches", runs)
	case reported == Done && lastRuns != 1:
		tally.Failf(rt, "reported done after %d runs", lastRuns)
	case !idempotent && runs > 1:
		tally.Failf(rt, "request that is not idempotent ran %d times", runs)
	}
}
