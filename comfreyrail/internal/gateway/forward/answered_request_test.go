package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// Guards against a request that goes on crashing servers because a server that failed before it got so far, or did not run it at all, has
// cleared it.
func TestOnlyAnswersClearRequest(t *testing.T) {
	respondWith := func(status int, notRun string) func(net.Conn, *http.Request, int) {
		return func(conn net.Conn, request *http.Request, _ int) {
			const format = "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: 0\r\n%s\r\n"
			_, _ = fmt.Fprintf(conn, format, status, request.Header.Get("Id"), notRun)
		}
	}
	tests := []struct {
		name, path string
		respond    func(net.Conn, *http.Request, int)
		cleared    bool
	}{
		{"success", "/once/", respondWith(http.StatusOK, ""), true},
		{"unknown resource", "/once/", respondWith(http.StatusNotFound, ""), true},
		{"failure", "/once/", respondWith(http.StatusInternalServerError, ""), false},
		{"not run", "/once/", respondWith(http.StatusServiceUnavailable, "Not-Run: 1\r\n"), false},
		{"failure of a stream", "/single/", respondWith(http.StatusInternalServerError, ""), false},
		{"unknown resource of a stream", "/single/", respondWith(http.StatusNotFound, ""), true},
	}
	for _, test := range tests {
		g := newGateway(t, nil, newServer(t, "only", test.respond))
		cleared := make(chan poison.Request, 1)
		g.forwarder.config.RequestAnswered = func(request poison.Request) { cleared <- request }
		g.send(t, test.path, "")
		if got, want := len(cleared) == 1, test.cleared; got != want {
			t.Errorf("%s: got cleared %v, want %v", test.name, got, want)
		}
	}
}
