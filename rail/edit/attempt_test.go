package edit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// encodedHead returns an encoded head of empty tables whose history consists of the entry.
func encodedHead(t *testing.T, entry table.HistoryEntry) []byte {
	t.Helper()
	next, err := table.Withdraw(new(table.Head), entry)
	if err != nil {
		t.Fatal(err)
	}
	next.Head.Recent[0] = entry
	content, err := table.EncodeHead(&next.Head)
	if err != nil {
		t.Fatal(err)
	}
	return content
}

// TestAttempt guards against an Attempt that reports a state that the store has not confirmed. It passes one response
// for each step, waits included, and checks the state at the end.
func TestAttempt(t *testing.T) {
	const editID = "e1"
	empty := Response{Content: encodedHead(t, table.HistoryEntry{ID: "other"}), Version: 5}
	newer := Response{Content: empty.Content, Version: 6}
	committed := Response{Content: encodedHead(t, table.HistoryEntry{ID: editID, Generation: 3}), Version: 6}
	withdrawn := Response{Content: encodedHead(t, table.HistoryEntry{ID: editID}), Version: 6}
	ok, noResponse, conflict, throttled := Response{}, Response{Err: errNoResponse}, Response{Err: kv.ErrConflict}, Response{Err: kv.ErrThrottled}
	tests := []struct {
		name      string
		purpose   Purpose
		responses []Response
		want      State
	}{
		{"accepted", Commit, []Response{empty, ok, ok}, Accepted},
		{"store unavailable", Commit, []Response{noResponse}, NotAccepted},
		{"response lost but edit accepted", Commit, []Response{empty, ok, noResponse, ok, committed}, Accepted},
		{"response lost and store unavailable", Commit, []Response{empty, ok, noResponse, ok, noResponse}, Unknown},
		{"write may still take effect", Commit, []Response{empty, ok, noResponse, ok, empty, noResponse}, Unknown},
		{"write can no longer take effect", Commit, []Response{empty, ok, noResponse, ok, newer, noResponse}, NotAccepted},
		{"conflict with another edit", Commit, []Response{empty, ok, conflict, ok, newer, ok, ok}, Accepted},
		{"conflict with its own write", Commit, []Response{empty, ok, conflict, ok, committed}, Accepted},
		{"throttled", Commit, []Response{empty, ok, throttled, ok, noResponse}, NotAccepted},
		{"withdrawn concurrently", Commit, []Response{empty, ok, conflict, ok, withdrawn}, NotAccepted},
		{"malformed head", Commit, []Response{{Content: []byte{1}, Version: 5}}, NotAccepted},
		{"chunk exists", Commit, []Response{empty, conflict, {Version: 2}, ok, ok}, Accepted},
		{"chunk deleted concurrently", Commit, []Response{empty, conflict, {Err: kv.ErrNotFound}, ok, ok}, Accepted},
		{"withdraw", Withdraw, []Response{empty, ok}, NotAccepted},
		{"withdraw accepted edit", Withdraw, []Response{committed}, Accepted},
		{"withdraw with store unavailable", Withdraw, []Response{noResponse}, Unknown},
		{"look up accepted edit", Lookup, []Response{committed}, Accepted},
		{"look up absent edit", Lookup, []Response{empty}, Absent},
		{"look up with store unavailable", Lookup, []Response{noResponse}, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			attempt := New(Config{
				Purpose: test.purpose,
				Edit:    table.Edit{ID: editID, Operations: []table.Operation{table.PutPool(table.Pool{Name: "p", Kind: table.PlainPool}, 0)}},
				// The last response arrives at the deadline.
				Deadline: start.Add(time.Duration(len(test.responses)) * time.Second),
				Cached:   func(table.Hash) ([]byte, bool) { return nil, false },
				Rand:     rand.New(rand.NewPCG(1, 1)),
			})
			step := attempt.Next(Response{}, start)
			for i, response := range test.responses {
				if finish, done := step.(Finish); done {
					t.Fatalf("finished after %d responses with %+v, want %d", i, finish.Result, len(test.responses))
				}
				step = attempt.Next(response, start.Add(time.Duration(i+1)*time.Second))
			}
			finish, done := step.(Finish)
			if !done {
				t.Fatalf("step after the responses: got %T, want Finish", step)
			}
			if got := finish.Result.State; got != test.want {
				t.Errorf("state: got %q (%s), want %q", got, finish.Result.Message, test.want)
			}
		})
	}
}
