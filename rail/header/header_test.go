package header

import (
	"net/http"
	"testing"
)

// TestEndToEnd guards against forwarding a hop-by-hop header, dropping an end-to-end one, and changing the original.
func TestEndToEnd(t *testing.T) {
	tests := []struct {
		name, header, value string
		want                bool
	}{
		{"custom header", "Comfrey-Workspace", "gallery", true},
		{"body length", "Content-Length", "4", true},
		{"hop-by-hop header", "Keep-Alive", "timeout=4", false},
		{"proxy header", "Proxy-Authorization", "x", false},
		{"transfer encoding", "Transfer-Encoding", "chunked", false},
		{"named in Connection", "X-Private", "x", false},
	}
	for _, test := range tests {
		header := http.Header{"Connection": {"close, X-Private"}}
		header.Set(test.header, test.value)
		got := EndToEnd(header)
		if _, kept := got[http.CanonicalHeaderKey(test.header)]; kept != test.want {
			t.Errorf("%s: got kept %v, want %v", test.name, kept, test.want)
		}
		if got.Get("Connection") != "" || header.Get("Connection") == "" {
			t.Errorf("%s: got Connection %q in the copy, %q in the original, want it in the original only", test.name, got.Get("Connection"), header.Get("Connection"))
		}
	}
	if got := EndToEnd(nil); got == nil {
		t.Error("got nil for nil headers, want empty headers")
	}
}
