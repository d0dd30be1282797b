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

func TestSendOutcome(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = closed.Close()
	raw := func(answer string) string {
		return newRawBackend(t, func(_ *closingBackend, opened net.Conn) {
			defer func() { _ = opened.Close() }()
			_, _ = opened.Read(make([]byte, 4096))
			_, _ = io.WriteString(opened, answer)
		}).address
	}
	const refusal = `{"refused":true,"reason":"leaving"}`
	tests := []struct {
		name    string
		address string
		want    outcome.Outcome
	}{
		{"connection refused", closed.Addr().String(), outcome.NotRun},
		{"whole answer", raw("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"), outcome.Done},
		{"answer cut short", raw("HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok"), outcome.Unknown},
		{"chunks cut short", raw("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"), outcome.Unknown},
		{"answer without length", raw("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"), outcome.Unknown},
		{"closed after the request", raw(""), outcome.Unknown},
		{"refusal", raw("HTTP/1.1 503 No\r\nContent-Length: 35\r\n\r\n" + refusal), outcome.NotRun},
		{"refusal cut short", raw("HTTP/1.1 503 No\r\nContent-Length: 36\r\n\r\n" + refusal), outcome.Unknown},
		{"failure that is no refusal", raw("HTTP/1.1 503 No\r\nContent-Length: 2\r\n\r\n{}"), outcome.Done},
		{"refusal with another status", raw("HTTP/1.1 500 No\r\nContent-Length: 35\r\n\r\n" + refusal), outcome.Done},
		{"switched protocols", raw("HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n"), outcome.Unknown},
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

// TestNoWriteAfterEnd covers a transport that writes after it has returned an error.
func TestNoWriteAfterEnd(t *testing.T) {
	ours, theirs := net.Pipe()
	defer func() { _ = theirs.Close() }()
	if err := ours.SetDeadline(time.Now().Add(time.Second)); err != nil {
		t.Fatal(err)
	}
	late := &conn{Conn: ours, number: 1}
	if _, err := late.Write([]byte("x")); !errors.Is(err, errRepeat) {
		t.Errorf("got error %v from a write without a dispatch, want %v", err, errRepeat)
	}
	current := new(call)
	late.holder.Store(current)
	if got, want := current.end(), outcome.NotRun; got != want {
		t.Errorf("got %q, want %q", got, want)
	}
	if _, err := late.Write([]byte("x")); !errors.Is(err, errRepeat) {
		t.Errorf("got error %v from a write after the outcome, want %v", err, errRepeat)
	}
}

func TestSendHeaders(t *testing.T) {
	var seen http.Header
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		seen = r.Header
		w.Header().Set("Connection", "X-Hop")
		w.Header().Set("X-Hop", "1")
		w.Header().Set("X-End", "1")
		w.Header().Set("Content-Encoding", "gzip")
		packed := gzip.NewWriter(w)
		_, _ = packed.Write([]byte("packed"))
		_ = packed.Close()
	}))
	defer server.Close()
	header := http.Header{
		"Connection": {"X-Hop, keep-alive"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"websocket"},
		"Proxy-Authorization": {"secret"}, "Expect": {"100-continue"}, "X-End": {"1"},
	}
	answer, err := New(Config{}).Send(t.Context(), Request{
		Address: strings.TrimPrefix(server.URL, "http://"), Method: http.MethodPost, Path: "/", Header: header, Body: []byte("x"),
	})
	if err != nil {
		t.Fatal(err)
	}
	for _, name := range []string{"Connection", "X-Hop", "Te", "Upgrade", "Proxy-Authorization", "Expect", "Accept-Encoding", "User-Agent"} {
		if got := seen.Get(name); got != "" {
			t.Errorf("got request header %s = %q, want none", name, got)
		}
	}
	if got, want := seen.Get("X-End"), "1"; got != want {
		t.Errorf("got request header X-End = %q, want %q", got, want)
	}
	if got := answer.Header.Get("X-Hop"); got != "" {
		t.Errorf("got answer header X-Hop = %q, want none", got)
	}
	if got, want := string(answer.Body[:2]), "\x1f\x8b"; got != want {
		t.Errorf("got answer that begins with %q, want the compressed bytes %q", got, want)
	}
}

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

// TestSendHead covers an answer that has no body by definition.
func TestSendHead(t *testing.T) {
	address := newRawBackend(t, func(_ *closingBackend, opened net.Conn) {
		defer func() { _ = opened.Close() }()
		_, _ = opened.Read(make([]byte, 4096))
		_, _ = io.WriteString(opened, "HTTP/1.1 200 OK\r\n\r\n")
	}).address
	if _, err := New(Config{}).Send(t.Context(), Request{Address: address, Method: http.MethodHead, Path: "/"}); err != nil {
		t.Errorf("got error %v, want an answer", err)
	}
}
