package soak

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/platform/fakeplatform"
)

// baseTime is the time at which the requests in the tests are sent.
var baseTime = time.Unix(1_800_000_000, 0)

// TestVerify guards against a soak run that misses a second run, a run after a refusal, a run for the wrong workspace or a run with
// a revoked key.
func TestVerify(t *testing.T) {
	key := fakeplatform.APIKey{Value: "k", Workspace: "w"}
	run := fakeplatform.Run{RequestID: "r", Workspace: "w"}
	tests := []struct {
		name    string
		request sentRequest
		runs    []fakeplatform.Run
		// revokedAfter is the time from the sending of the request to the revocation of its key.
		revokedAfter time.Duration
		want         string
	}{
		{"served once", sentRequest{id: "r", kind: "once", key: key, served: true}, []fakeplatform.Run{run}, time.Hour, ""},
		{"refused and not run", sentRequest{id: "r", kind: "once", key: key, refused: true}, nil, time.Hour, ""},
		{"ran twice", sentRequest{id: "r", kind: "once", key: key}, []fakeplatform.Run{run, run}, time.Hour, "ran 2 times"},
		{"refused and run", sentRequest{id: "r", kind: "once", key: key, refused: true}, []fakeplatform.Run{run}, time.Hour, "refused as not run"},
		{"another workspace", sentRequest{id: "r", kind: "safe", key: key}, []fakeplatform.Run{{RequestID: "r", Workspace: "x"}}, time.Hour, "workspace"},
		{"revoked key", sentRequest{id: "r", kind: "safe", key: key}, []fakeplatform.Run{run}, -time.Minute, "after its key was revoked"},
		{"key revoked just before", sentRequest{id: "r", kind: "safe", key: key}, []fakeplatform.Run{run}, -time.Second, ""},
	}
	for _, test := range tests {
		test.request.sentAt = baseTime
		c := callers{requests: []sentRequest{test.request}}
		violations, _ := c.verify(test.runs, map[string]time.Time{"k": baseTime.Add(test.revokedAfter)})
		got := strings.Join(violations, "; ")
		if test.want == "" && got != "" || !strings.Contains(got, test.want) {
			t.Errorf("%s: got %q, want %q", test.name, got, test.want)
		}
	}
}

// TestCheckStream guards against a check that passes a gap in the events, an incomplete stream or an event of another request.
func TestCheckStream(t *testing.T) {
	whole := ""
	for id := range fakeplatform.StreamEvents {
		whole += "id: " + string(rune('0'+(id+1)/10)) + string(rune('0'+(id+1)%10)) + "\ndata: r\n\n"
	}
	tests := []struct {
		name, body string
		faulty     bool
	}{
		{"complete", whole, false},
		{"ends early", "id: 1\ndata: r\n\n", true},
		{"gap", "id: 1\ndata: r\n\nid: 3\ndata: r\n\n", true},
		{"event of another request", strings.Replace(whole, "data: r", "data: x", 1), true},
	}
	for _, test := range tests {
		var c callers
		c.checkStream(&sentRequest{id: "r", kind: "stream"}, strings.NewReader(test.body))
		if got := len(c.violations) > 0; got != test.faulty {
			t.Errorf("%s: got violations %v, want any: %v", test.name, c.violations, test.faulty)
		}
	}
}

// TestCheckResponseRefusal guards against counting a status as a refusal although the request may have run.
func TestCheckResponseRefusal(t *testing.T) {
	tests := []struct {
		status int
		want   bool
	}{{503, true}, {429, true}, {421, true}, {502, false}, {504, false}}
	for _, test := range tests {
		var c callers
		sent := sentRequest{id: "r"}
		c.checkResponse(&sent, &http.Response{StatusCode: test.status, Body: io.NopCloser(strings.NewReader(""))})
		if sent.refused != test.want {
			t.Errorf("status %d: got refused %v, want %v", test.status, sent.refused, test.want)
		}
	}
}
