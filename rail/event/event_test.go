package event

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"
)

// written returns the text of a line with the fields.
func written(t *testing.T, fields Fields) string {
	t.Helper()
	content, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return "  5.1 edge-1 " + string(content)
}

// What is written of an event is read back as it was.
func TestLinesAreReadAsTheyWereWritten(t *testing.T) {
	tests := []struct {
		name   string
		fields Fields
		want   Line
	}{
		{"the end of a stream", Ended{
			Request: "r", Route: "drafts", Kind: "stream", Server: "i-1", Path: "i-1=0-8 i-2=8-16", Sent: 2, Age: 300 * time.Millisecond,
			First: 60 * time.Millisecond, Gap: 90 * time.Millisecond, Events: 4, Version: 7,
		}.Fields(), Line{Request: "r", Server: "i-1", Path: "i-1=0-8 i-2=8-16", Sent: 2, Age: 300, First: 60, Gap: 90, Events: 4}},
		{"a refusal", Refusal{Status: 502, Code: "no-server", Ran: true}.Fields(), Line{Status: 502, Code: "no-server", Ran: true}},
		{"an attempt", Attempt{Request: "r", Server: "i-1", Fault: "x:1", Path: "i-1=0-8", Ran: true, Status: 503, After: time.Second}.Fields(),
			Line{Request: "r", Server: "i-1", Fault: "x:1", Path: "i-1=0-8", Ran: true, Status: 503, After: 1000}},
		{"a move", Move{Request: "r", First: "i-1", Silent: "i-2", Waited: 95 * time.Millisecond}.Fields(), Line{Request: "r", Silent: "i-2", Waited: 95}},
		{"an engine", Engine{Server: "i-1", Address: "x:1", Slowness: 12, Request: "r"}.Fields(),
			Line{Server: "i-1", Address: "x:1", Slowness: 12, Request: "r"}},
	}
	for _, test := range tests {
		got, err := Parse(written(t, test.fields))
		// The first engine of a move has a field of its own, which is not read.
		if err != nil || got != test.want {
			t.Errorf("%s: got %+v, %v, want %+v", test.name, got, err, test.want)
		}
	}
}

func TestParseTellsWhatIsNoLine(t *testing.T) {
	for _, text := range []string{"", "not a line", "{broken", `{"sent":"many"}`} {
		if got, err := Parse(text); !errors.Is(err, ErrNoLine) {
			t.Errorf("%q: got %+v, %v, want ErrNoLine", text, got, err)
		}
	}
}

func TestEngines(t *testing.T) {
	got := Line{Path: "i-1=0-8 i-2=8-16"}.Engines()
	if want := []string{"i-1", "i-2"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
