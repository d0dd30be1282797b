package edit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// encodedHead returns a head over empty tables with an entry for the edit.
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

func TestAttempt(t *testing.T) {
	const own = "e1"
	empty := Answer{Content: encodedHead(t, table.HistoryEntry{ID: "other"}), Version: 5}
	moved := Answer{Content: empty.Content, Version: 6}
	mine := Answer{Content: encodedHead(t, table.HistoryEntry{ID: own, Generation: 3}), Version: 6}
	withdrawn := Answer{Content: encodedHead(t, table.HistoryEntry{ID: own}), Version: 6}
	ok, lost, raced, throttled := Answer{}, Answer{Err: errNoAnswer}, Answer{Err: kv.ErrConflict}, Answer{Err: kv.ErrThrottled}
	tests := []struct {
		name    string
		purpose Purpose
		answers []Answer
		want    State
	}{
		{"accepted at once", Commit, []Answer{empty, ok, ok}, Accepted},
		{"service out", Commit, []Answer{lost}, NotAccepted},
		{"answer lost and found", Commit, []Answer{empty, ok, lost, ok, mine}, Accepted},
		{"answer lost and the service out", Commit, []Answer{empty, ok, lost, ok, lost}, Unknown},
		{"write still under way", Commit, []Answer{empty, ok, lost, ok, empty, lost}, Unknown},
		{"write can no longer take effect", Commit, []Answer{empty, ok, lost, ok, moved, lost}, NotAccepted},
		{"race lost", Commit, []Answer{empty, ok, raced, ok, moved, ok, ok}, Accepted},
		{"race lost to itself", Commit, []Answer{empty, ok, raced, ok, mine}, Accepted},
		{"call rate exceeded", Commit, []Answer{empty, ok, throttled, ok, lost}, NotAccepted},
		{"withdrawn by another", Commit, []Answer{empty, ok, raced, ok, withdrawn}, NotAccepted},
		{"damaged head", Commit, []Answer{{Content: []byte{1}, Version: 5}}, NotAccepted},
		{"chunk exists", Commit, []Answer{empty, raced, {Version: 2}, ok, ok}, Accepted},
		{"chunk deleted meanwhile", Commit, []Answer{empty, raced, {Err: kv.ErrNotFound}, ok, ok}, Accepted},
		{"withdrawal", Withdraw, []Answer{empty, ok}, NotAccepted},
		{"withdrawal too late", Withdraw, []Answer{mine}, Accepted},
		{"withdrawal with the service out", Withdraw, []Answer{lost}, Unknown},
		{"look up an accepted edit", Lookup, []Answer{mine}, Accepted},
		{"look up an edit that may be under way", Lookup, []Answer{empty}, Absent},
		{"look up with the service out", Lookup, []Answer{lost}, Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			start := time.Unix(1000, 0)
			attempt := New(Config{
				Purpose: test.purpose,
				Edit:    table.Edit{ID: own, Operations: []table.Operation{table.PutPool(table.Pool{Name: "p", Kind: table.PlainPool}, 0)}},
				// The last answer arrives after the deadline.
				Deadline: start.Add(time.Duration(len(test.answers)) * time.Second),
				Cached:   func(table.Hash) ([]byte, bool) { return nil, false },
				Rand:     rand.New(rand.NewPCG(1, 1)),
			})
			step := attempt.Next(Answer{}, start)
			for i, answer := range test.answers {
				if finish, done := step.(Finish); done {
					t.Fatalf("finished after %d answers with %+v, want %d", i, finish.Result, len(test.answers))
				}
				step = attempt.Next(answer, start.Add(time.Duration(i+1)*time.Second))
			}
			finish, done := step.(Finish)
			if !done {
				t.Fatalf("step after the answers: got %T, want Finish", step)
			}
			if got := finish.Result.State; got != test.want {
				t.Errorf("state: got %q (%s), want %q", got, finish.Result.Message, test.want)
			}
		})
	}
}
