package forward

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
)

// Guards against a response whose server stops in the middle of its head, and closes the connection or resets it, reaching the caller
// as a success with an empty or short body that looks whole.
func TestHeadThatBreaksOffIsNoSuccess(t *testing.T) {
	heads := []struct{ name, text string }{
		{"with a length", "HTTP/1.1 200 OK\r\nId: r1\r\nContent-Length: 12\r\n\r\n"},
		{"in chunks", "HTTP/1.1 200 OK\r\nId: r1\r\nTransfer-Encoding: chunked\r\n\r\n"},
		{"to the end of the connection", "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\n"},
		{"after an interim response", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\n"},
		{"continued line", "HTTP/1.1 200 OK\r\nId: r1\r\nX-Long: a\r\n b\r\nConnection: close\r\n\r\n"},
		{"line feeds only", "HTTP/1.1 200 OK\nId: r1\nConnection: close\n\n"},
	}
	endings := []struct {
		name string
		end  func(net.Conn)
	}{
		{"closed", func(conn net.Conn) { _ = conn.Close() }},
		{"reset", func(conn net.Conn) {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}},
	}
	for _, head := range heads {
		for _, ending := range endings {
			t.Run(head.name+", "+ending.name, func(t *testing.T) {
				t.Parallel()
				var cut atomic.Int32
				s := newServer(t, "only", func(conn net.Conn, _ *http.Request, _ int) {
					_, _ = io.WriteString(conn, head.text[:cut.Load()])
					ending.end(conn)
				})
				g := newGateway(t, allowAttempts(1), s)
				for i := range len(head.text) {
					cut.Store(int32(i))
					for _, path := range []string{"/once/", "/safe/", "/single/", "/stream/"} {
						response, body, complete := g.send(t, path, "")
						if complete && response.StatusCode < http.StatusBadRequest {
							t.Errorf("%s, cut after %q: got status %d with %q as a whole response", path, head.text[:i], response.StatusCode, body)
						}
					}
				}
			})
		}
	}
}

// Guards against a stream that goes on with a response whose head breaks off, and ends as complete.
func TestHeadThatBreaksOffDoesNotEndStream(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nId: r1\r\nConnection: close\r\n\r\n"
	for _, cut := range []int{0, 9, strings.Index(head, "Conn"), len(head) - 2, len(head) - 1} {
		respond := firstThen(writeStream(chunked, chunk(eventText(1, brokenAfter)), false), func(conn net.Conn, _ *http.Request, _ int) {
			_, _ = io.WriteString(conn, head[:cut])
			_ = conn.Close()
		})
		g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
		t.Run(fmt.Sprint("cut after ", cut), func(t *testing.T) { g.sendRaw(t, "/stream/").check(t, brokenAfter, false) })
	}
}
