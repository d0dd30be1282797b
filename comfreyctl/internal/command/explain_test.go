package command

import (
	"bytes"
	"strings"
	"testing"
)

const sampleLog = `  5.1 edge-1 {"instance":"edge-1","msg":"attempt failed","request":"r1","server":"i-1","fault":"10.0.0.2:80","error":"status 503","time":"2026-01-01T00:00:02Z","after_ms":7}
{"instance":"edge-1","msg":"refused: stream-failed","code":"stream-failed","request":"r1","status":503,"sent":2,"ran":false,"time":"2026-01-01T00:00:03Z"}
not a line
{"instance":"edge-2","msg":"done","request":"r2","events":3,"first_ms":60,"gap_ms":80,"time":"2026-01-01T00:00:01Z"}
{"instance":"edge-2","msg":"refused: timeout","code":"timeout","request":"r3","status":504,"sent":1,"ran":true,"time":"2026-01-01T00:00:01Z"}
`

func TestExplain(t *testing.T) {
	tests := []struct{ id, want string }{
		{"r1", "every path that the route allows failed; no backend server ran it; the last attempt failed at 10.0.0.2:80: status 503"},
		{"r2", "none: the request was served"},
		{"r3", "the time of the route or of the caller was up; a backend server may have run it"},
		{"r4", "no line names the request"},
	}
	for _, test := range tests {
		lines, err := scanLines(strings.NewReader(sampleLog), test.id)
		if err != nil {
			t.Fatal(err)
		}
		var out bytes.Buffer
		if err = explain(&out, lines); err != nil {
			t.Fatal(err)
		}
		if !strings.Contains(out.String(), "likeliest cause: "+test.want) {
			t.Errorf("%s: got %q, want the cause %q", test.id, out.String(), test.want)
		}
	}
}
