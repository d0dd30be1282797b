package forward

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"
)

// Guards against a request that gets neither a response nor a refusal because a part of its body doesn't arrive before its deadline.
func TestMissingBodyIsAnsweredAtDeadline(t *testing.T) {
	tests := []struct {
		name       string
		path       string
		length     string // header
		begin      string // of the body
		wantStatus int
	}{
		{"half of a known length", "/once/", "Content-Length: 8", "half", http.StatusServiceUnavailable},
		{"none of a known length", "/once/", "Content-Length: 8", "", http.StatusServiceUnavailable},
		{"no end of the chunks", "/once/", "Transfer-Encoding: chunked", "4\r\nhalf\r\n", http.StatusServiceUnavailable},
		{"unknown route", "/none/", "Content-Length: 8", "half", http.StatusNotFound},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			server := newServer(t, "one", respondOK)
			g := newGateway(t, nil, server)
			conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			_, _ = fmt.Fprintf(conn, "POST %s HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r1\r\nTimeout: 300\r\n%s\r\n\r\n%s", test.path, test.length, test.begin)
			_ = conn.SetReadDeadline(time.Now().Add(5 * time.Second))
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			if err != nil {
				t.Fatalf("got no response: %v", err)
			}
			_ = response.Body.Close()
			if got, want := response.StatusCode, test.wantStatus; got != want {
				t.Errorf("got status %d, want %d", got, want)
			}
			if !response.Close {
				t.Error("the response lets the caller reuse the connection")
			}
			if got := server.received(); got != 0 {
				t.Errorf("the server got %d requests, want none", got)
			}
		})
	}
}

// Guards against a deadline of reading the body that ends the wait for the server's response as if the caller had left.
func TestBodyDeadlineEndsWithBody(t *testing.T) {
	slow := func(conn net.Conn, request *http.Request, n int) {
		time.Sleep(600 * time.Millisecond)
		respondOK(conn, request, n)
	}
	g := newGateway(t, nil, newServer(t, "one", slow))
	conn, err := net.Dial("tcp", strings.TrimPrefix(g.url, "http://"))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for n, body := range []string{"whole", "", "whole"} {
		_, _ = fmt.Fprintf(conn, "POST /safe/ HTTP/1.1\r\nHost: 127.0.0.1\r\nId: r%d\r\nTimeout: 1000\r\nContent-Length: %d\r\n\r\n%s", n, len(body), body)
		response, err := http.ReadResponse(reader, nil)
		if err != nil {
			t.Fatalf("got no response to request %d: %v", n, err)
		}
		if got, want := response.StatusCode, http.StatusOK; got != want {
			t.Errorf("got status %d for request %d, want %d", got, n, want)
		}
		_, _ = reader.Discard(int(response.ContentLength))
	}
}
