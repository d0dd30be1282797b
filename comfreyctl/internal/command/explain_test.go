package command

import (
	"bytes"
	"strings"
	"testing"
)

// sampleLog holds lines of requests and engines, one with a prefix and one that is not a log line.
const sampleLog = `  5.1 edge-1 {"instance":"edge-1","msg":"attempt failed","request":"r1","server":"i-1","fault":"10.0.0.2:80","error":"status 503","time":"2026-01-01T00:00:02Z","after_ms":7}
{"instance":"edge-1","msg":"refused: stream-failed","code":"stream-failed","request":"r1","status":503,"sent":2,"ran":false,"time":"2026-01-01T00:00:03Z"}
not a line
{"instance":"edge-2","msg":"done","request":"r2","events":3,"first_ms":60,"gap_ms":80,"time":"2026-01-01T00:00:01Z"}
{"instance":"edge-2","msg":"speed of an engine","server":"i-7","slowness":12,"time":"2026-01-01T00:00:07Z"}
{"instance":"edge-2","msg":"speed of an engine","server":"i-8","slowness":12,"time":"2026-01-01T00:00:07Z"}
{"instance":"edge-2","msg":"the engine does not answer","server":"i-9","time":"2026-01-01T00:01:07Z"}
{"instance":"edge-2","msg":"broken off","request":"r5","path":"i-7=0-8 i-9=8-16","error":"EOF","events":2,"time":"2026-01-01T00:00:08Z"}
{"instance":"edge-2","msg":"refused: timeout","code":"timeout","request":"r3","status":504,"sent":1,"ran":true,"time":"2026-01-01T00:00:01Z"}
`

// TestExplain guards against a wrong cause, and against stating that no server ran a request that may have run.
func TestExplain(t *testing.T) {
	tests := []struct{ id, want string }{
		{"r1", "every chain of engines that the route allows failed; no backend server ran it; the last attempt failed at 10.0.0.2:80: status 503"},
		{"r2", "none: the request was served"},
		{"r3", "the timeout of the route or of the caller expired; a backend server may have run it"},
		{"r4", "no line names the request"},
	}
	for _, test := range tests {
		log, err := readLogs(strings.NewReader(sampleLog), nil, test.id)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err = log.explain(&out); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), "likeliest cause: "+test.want) {
			t.Errorf("%s: got %q, want the cause %q", test.id, out.String(), test.want)
		}
	}
}

// TestExplainSlowEngine guards against reporting a slow engine as one that does not respond, and against reporting engines that
// aren't in the chain of the request or had a problem at another time. The lines of the request don't tell a slow engine from one
// that does not respond; only the lines about the engine do.
func TestExplainSlowEngine(t *testing.T) {
	log, err := readLogs(strings.NewReader(sampleLog), nil, "r5")
	if err != nil {
		t.Fatal(err)
	}
	got := log.engineProblems()
	if want := "engine i-7: reported that its work took 12.0 times the usual time: slow, not dead"; len(got) != 1 || got[0] != want {
		t.Errorf("got %q, want only %q: i-8 is not in the chain, i-9 stopped responding a minute later", got, want)
	}
}
