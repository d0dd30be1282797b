package header

import (
	"net/http"
	"testing"
)

func TestEndToEnd(t *testing.T) {
	tests := []struct {
		name, header, value string
		want                bool
	}{
		{"an own header", "Comfrey-Workspace", "gallery", true},
		{"the length of the body", "Content-Length", "4", true},
		{"a header of the connection", "Keep-Alive", "timeout=4", false},
		{"a proxy's", "Proxy-Authorization", "x", false},
		{"the way in which the body is sent", "Transfer-Encoding", "chunked", false},
		{"one that the connection names", "X-Private", "x", false},
	}
	for _, test := range tests {
		header := http.Header{"Connection": {"close, X-Private"}}
		header.Set(test.header, test.value)
		got := EndToEnd(header)
		if _, kept := got[http.CanonicalHeaderKey(test.header)]; kept != test.want {
			t.Errorf("%s: got kept %v, want %v", test.name, kept, test.want)
		}
		if got.Get("Connection") != "" || header.Get("Connection") == "" {
			t.Errorf("%s: got Connection %q in the copy, %q in the original, want it in the original alone", test.name, got.Get("Connection"), header.Get("Connection"))
		}
	}
	if got := EndToEnd(nil); got == nil {
		t.Error("got nil for no headers, want an empty set")
	}
}
