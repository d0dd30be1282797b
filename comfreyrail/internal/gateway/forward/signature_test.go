package forward

import (
	"fmt"
	"net"
	"net/http"
	"testing"
)

// respondUnsigned returns a function that responds like a sound server, with a whole stream, but without a signature.
func respondUnsigned(status int) func(net.Conn, *http.Request, int) {
	return func(conn net.Conn, request *http.Request, _ int) {
		const body = "id: 1\ndata: unsigned\n\n"
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nId: %s\r\nUnsigned: 1\r\nContent-Length: %d\r\n\r\n%s", status, request.Header.Get("Id"), len(body), body)
	}
}

// Guards against a success without the server's signature reaching the caller: a faulty server has spoiled that response. Where the
// request may run again, another server's response must reach the caller, and otherwise status 502.
func TestUnsignedSuccessIsNotRelayed(t *testing.T) {
	tests := []struct {
		path         string
		serverStatus int
		want         int
	}{
		{"/once/", http.StatusOK, http.StatusBadGateway},
		{"/once/", http.StatusCreated, http.StatusBadGateway},
		{"/safe/", http.StatusOK, http.StatusOK},
		{"/safe/", http.StatusPartialContent, http.StatusOK},
		{"/single/", http.StatusOK, http.StatusBadGateway},
		{"/single/", http.StatusCreated, http.StatusBadGateway},
		{"/stream/", http.StatusOK, http.StatusOK},
		{"/stream/", http.StatusCreated, http.StatusOK},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.path, test.serverStatus), func(t *testing.T) {
			respond := firstThen(respondUnsigned(test.serverStatus), writeAnswer(http.StatusOK, chunked, chunk(eventText(1, lastEvent))+lastChunk))
			first, second := newServer(t, "first", respond), newServer(t, "second", respond)
			response, body, complete := newGateway(t, nil, first, second).send(t, test.path, "")
			if response.StatusCode != test.want || !complete || response.Header.Get("Unsigned") != "" {
				t.Errorf("got status %d, complete %v, body %q, want a signed response or an own one with status %d", response.StatusCode, complete, body, test.want)
			}
			if got, want := first.received()+second.received(), 1; test.want == http.StatusBadGateway && got != want {
				t.Errorf("got the request sent %d times, want %d", got, want)
			}
		})
	}
}

// Guards against a failure without a signature being replaced: the caller learns the server's status.
func TestUnsignedFailureIsRelayed(t *testing.T) {
	g := newGateway(t, nil, newServer(t, "only", respondUnsigned(http.StatusNotFound)))
	if response, _, complete := g.send(t, "/once/", ""); response.StatusCode != http.StatusNotFound || !complete {
		t.Errorf("got status %d, complete %v, want the server's status %d", response.StatusCode, complete, http.StatusNotFound)
	}
}

// Guards against a stream being continued with a response that bears no signature.
func TestUnsignedResponseDoesNotContinueStream(t *testing.T) {
	broken := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		writeEvent(conn, 1, "1")
		_ = conn.Close()
	}
	respond := firstThen(broken, respondUnsigned(http.StatusOK))
	g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
	if _, body, complete := g.send(t, "/stream/", ""); complete {
		t.Errorf("got %q as a whole stream, want it broken off after the first event", body)
	}
}
