package forward

import (
	"net"
	"net/http"
	"testing"
)

// Guards against a server's response that is ready and dropped, because the deadline passes while another server is tried.
func TestReadyFailureIsDeliveredAtDeadline(t *testing.T) {
	respond := firstThen(respondError, func(conn net.Conn, _ *http.Request, _ int) { _, _ = conn.Read(make([]byte, 1)) })
	g := newGateway(t, nil, newServer(t, "one", respond), newServer(t, "two", respond))
	response, body, complete := g.send(t, "/safe/", "")
	if response.StatusCode != http.StatusInternalServerError || body != "failed" || !complete {
		t.Errorf("got status %d, complete %v, body %q, want the server's failure", response.StatusCode, complete, body)
	}
}
