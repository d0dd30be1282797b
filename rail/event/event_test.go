package event

import (
	"encoding/json"
	"errors"
	"slices"
	"testing"
	"time"
)

// formatLine returns a log line with the fields, after the text that a log prefix adds.
func formatLine(t *testing.T, fields Fields) string {
	t.Helper()
	content, err := json.Marshal(fields)
	if err != nil {
		t.Fatal(err)
	}
	return "  5.1 edge-1 " + string(content)
}

// TestParseLine guards against a field that is written under another name or unit than ParseLine reads.
func TestParseLine(t *testing.T) {
	tests := []struct {
		name   string
		fields Fields
		want   Line
	}{
		{"request end", RequestEnd{
			Request: "r", Route: "drafts", Kind: "stream", Server: "i-1", Chain: "i-1=0-8 i-2=8-16", Attempts: 2, ConfigAge: 300 * time.Millisecond,
			FirstEvent: 60 * time.Millisecond, MaxGap: 90 * time.Millisecond, Events: 4, ConfigVersion: 7,
		}.Fields(), Line{Request: "r", Server: "i-1", Chain: "i-1=0-8 i-2=8-16", Attempts: 2, ConfigAge: 300, FirstEvent: 60, MaxGap: 90, Events: 4}},
		{"error response", ErrorResponse{Status: 502, Code: "no-server", MayHaveRun: true}.Fields(), Line{Status: 502, Code: "no-server", MayHaveRun: true}},
		{"failed attempt", FailedAttempt{Request: "r", Server: "i-1", FaultyAddress: "x:1", Chain: "i-1=0-8", MayHaveRun: true, Status: 503, Elapsed: time.Second}.Fields(),
			Line{Request: "r", Server: "i-1", FaultyAddress: "x:1", Chain: "i-1=0-8", MayHaveRun: true, Status: 503, Elapsed: 1000}},
		// Line has no field for FirstEngine.
		{"stream reroute", Reroute{Request: "r", FirstEngine: "i-1", SilentEngine: "i-2", Waited: 95 * time.Millisecond}.Fields(), Line{Request: "r", SilentEngine: "i-2", Waited: 95}},
		{"engine probe", EngineProbe{Server: "i-1", Address: "x:1", Slowness: 12, Request: "r"}.Fields(),
			Line{Server: "i-1", Address: "x:1", Slowness: 12, Request: "r"}},
	}
	for _, test := range tests {
		got, err := ParseLine(formatLine(t, test.fields))
		if err != nil || got != test.want {
			t.Errorf("%s: got %+v, %v, want %+v", test.name, got, err, test.want)
		}
	}
}

// TestParseLineError guards against taking a text without a JSON object that fits Line for a log line.
func TestParseLineError(t *testing.T) {
	for _, text := range []string{"", "not a line", "{broken", `{"sent":"many"}`} {
		if got, err := ParseLine(text); !errors.Is(err, ErrNotLogLine) {
			t.Errorf("%q: got %+v, %v, want ErrNotLogLine", text, got, err)
		}
	}
}

// TestEngines guards against engines that are left out, out of order or still have their layers.
func TestEngines(t *testing.T) {
	got := Line{Chain: "i-1=0-8 i-2=8-16"}.Engines()
	if want := []string{"i-1", "i-2"}; !slices.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}
