package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

var start = time.Unix(1_800_000_000, 0)

func TestCheckFindsBrokenPromises(t *testing.T) {
	key := fakeplatform.Key{Key: "k", Workspace: "w"}
	run := fakeplatform.Run{RequestID: "r", Workspace: "w"}
	tests := []struct {
		name    string
		asked   asked
		runs    []fakeplatform.Run
		revoked time.Duration
		want    string
	}{
		{"served once", asked{id: "r", kind: "once", key: key, served: true}, []fakeplatform.Run{run}, time.Hour, ""},
		{"refused and not run", asked{id: "r", kind: "once", key: key, refused: true}, nil, time.Hour, ""},
		{"ran twice", asked{id: "r", kind: "once", key: key}, []fakeplatform.Run{run, run}, time.Hour, "ran 2 times"},
		{"refused and run", asked{id: "r", kind: "once", key: key, refused: true}, []fakeplatform.Run{run}, time.Hour, "refused as not run"},
		{"another workspace", asked{id: "r", kind: "safe", key: key}, []fakeplatform.Run{{RequestID: "r", Workspace: "x"}}, time.Hour, "workspace"},
		{"a key taken away", asked{id: "r", kind: "safe", key: key}, []fakeplatform.Run{run}, -time.Minute, "taken away"},
		{"a key taken away just now", asked{id: "r", kind: "safe", key: key}, []fakeplatform.Run{run}, -time.Second, ""},
	}
	for _, test := range tests {
		test.asked.sent = start
		c := callers{asked: []asked{test.asked}}
		faults, _ := c.check(test.runs, map[string]time.Time{"k": start.Add(test.revoked)})
		got := strings.Join(faults, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

func TestReadStreamFindsGapsAndRepeats(t *testing.T) {
	whole := ""
	for id := range fakeplatform.StreamEvents {
		whole += "id: " + string(rune('0'+(id+1)/10)) + string(rune('0'+(id+1)%10)) + "\ndata: r\n\n"
	}
	tests := []struct {
		name, body string
		faulty     bool
	}{
		{"whole", whole, false},
		{"ends early", "id: 1\ndata: r\n\n", true},
		{"a gap", "id: 1\ndata: r\n\nid: 3\ndata: r\n\n", true},
		{"another request's", strings.Replace(whole, "data: r", "data: x", 1), true},
	}
	for _, test := range tests {
		var c callers
		c.readStream(&asked{id: "r", kind: "stream"}, strings.NewReader(test.body))
		if got := len(c.faults) > 0; got != test.faulty {
			t.Errorf("%s: got faults %v, want %v", test.name, c.faults, test.faulty)
		}
	}
}

func TestReadNotesRefusals(t *testing.T) {
	tests := []struct {
		status int
		want   bool
	}{{503, true}, {429, true}, {421, true}, {502, false}, {504, false}}
	for _, test := range tests {
		var c callers
		a := asked{id: "r"}
		c.read(&a, &http.Response{StatusCode: test.status, Body: io.NopCloser(strings.NewReader(""))})
		if a.refused != test.want {
			t.Errorf("status %d: got refused %v, want %v", test.status, a.refused, test.want)
		}
	}
}
