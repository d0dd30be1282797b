package dispatch

import (
	"compress/gzip"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/outcome"
)

// TestSendOutcome checks the outcome of each way in which a response can be complete, incomplete or missing.
func TestSendOutcome(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	rawBackend := func(response string) string {
		return newRawBackend(t, func(_ *testBackend, netConn net.Conn) {
			defer func() { _ = netConn.Close() }()
			_, _ = netConn.Read(make([]byte, 4096))
			_, _ = io.WriteString(netConn, response)
		}).address
	}
	const refusal = `{"refused":true,"reason":"leaving"}`
	tests := []struct {
		name    string
		address string
		want    outcome.Outcome
	}{
		{"connection refused", closed.Addr().String(), outcome.NotRun},
		{"complete response", rawBackend("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), outcome.Done},
		{"truncated response", rawBackend("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"), outcome.Unknown},
		{"truncated chunks", rawBackend("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), outcome.Unknown},
		{"response without length", rawBackend("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"), outcome.Unknown},
		{"closed after the request", rawBackend(""), outcome.Unknown},
		{"refusal", rawBackend("HTTP/1.1 503 No\r\nContent-Length: 35\r\n\r\n" + refusal), outcome.NotRun},
		{"truncated refusal", rawBackend("HTTP/1.1 503 No\r\nContent-Length: 36\r\n\r\n" + refusal), outcome.Unknown},
		{"error other than refusal", rawBackend("HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n{}"), outcome.Done},
		{"refusal with another status", rawBackend("HTTP/1.1 500 No\r\nContent-Length: 35\r\n\r\n" + refusal), outcome.Done},
		{"switched protocols", rawBackend("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), outcome.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, err := New(Config{}).Send(t.Context(), Request{Address: test.address, Method: http.MethodPost, Path: "/", Body: []byte("x")})
			if got := outcomeOf(err); got != test.want {
				t.Errorf("got %q (%v), want %q", got, err, test.want)
			}
		})
	}
}

// TestNoWriteAfterEnd checks that the transport, which may still write after it has returned an error, can't write a
// request after the outcome has been returned. Otherwise a request that was reported as not run could still run.
func TestNoWriteAfterEnd(t *testing.T) {
	local, remote := net.Pipe()
	defer func() { _ = remote.Close() }()
	if err := local.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	c := &conn{Conn: local, id: 1}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errWriteDenied) {
		t.Errorf("got error %v from a write without a dispatch, want %v", err, errWriteDenied)
	}
	current := new(lockedDispatch)
	c.owner.Store(current)
	if got, want := current.end(), outcome.NotRun; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if _, err := c.Write([]byte("x")); !errors.Is(err, errWriteDenied) {
		t.Errorf("got error %v from a write after the end, want %v", err, errWriteDenied)
	}
}

// TestSendHeaders checks that hop-by-hop headers are removed in both directions and that net/http neither adds headers nor
// decompresses the response.
func TestSendHeaders(t *testing.T) {
	var received http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.Header().Set("Content-Encoding", "gzip")
		gzipWriter := gzip.NewWriter(w)
		_, _ = gzipWriter.Write([]byte("packed"))
		_ = gzipWriter.Close()
	}))
	defer server.Close()
	header := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"websocket"},
		"Proxy-Authorization": {"secret"}, "Expect": {"100-continue"}, "X-End": {"1"},
	}
	response, err := New(Config{}).Send(t.Context(), Request{
		Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, Path: "/", Header: header, Body: []byte("x"),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Connection", "X-Hop", "Te", "Upgrade", "Proxy-Authorization", "Expect", "Accept-Encoding", "User-Agent"} {
		if got := received.Get(name); got != "" {
			t.Errorf("got request header %s = %q, want none", name, got)
		}
	}
	if got, want := received.Get("X-End"), "1"; got != want {
		t.Errorf("got request header X-End = %q, want %q", got, want)
	}
	if got := response.Header.Get("X-Hop"); got != "" {
		t.Errorf("got response header X-Hop = %q, want none", got)
	}
	if got, want := string(response.Body[:2]), "\x1f\x8b"; got != want {
		t.Errorf("got response that begins with %q, want the compressed bytes %q", got, want)
	}
}

// TestSendDeadline checks that a request whose response doesn't arrive before the deadline fails with CodeDeadline. Its
// outcome is unknown, because the server may have run it.
func TestSendDeadline(t *testing.T) {
	block := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { <-block }))
	defer server.Close()
	defer close(block)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	_, err := New(Config{}).Send(ctx, Request{Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodGet, Path: "/"})
	if got, want := outcome.FromError(err).Code, outcome.CodeDeadline; got != want {
		t.Errorf("got code %q, want %q", got, want)
	}
	if got, want := outcomeOf(err), outcome.Unknown; got != want {
		t.Errorf("got outcome %q, want %q", got, want)
	}
}

// TestSendHead checks that a response to HEAD, which has no body, counts as complete.
func TestSendHead(t *testing.T) {
	address := newRawBackend(t, func(_ *testBackend, netConn net.Conn) {
		defer func() { _ = netConn.Close() }()
		_, _ = netConn.Read(make([]byte, 4096))
		_, _ = io.WriteString(netConn, "HTTP/1.1 200 OK\r\n\r\n")
	}).address
	if _, err := New(Config{}).Send(t.Context(), Request{Address: address, Method: http.MethodHead, Path: "/"}); err != nil {
		t.Errorf("got error %v, want a response", err)
	}
}
