package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/limit/limittest"
)

// maxHeapGrowth is how much the heap may grow while 100 requests meet a hostile server, in bytes.
const maxHeapGrowth = 8 << 20

// sendWithoutEnd writes the prefix and then the repeated text until the connection fails.
func sendWithoutEnd(prefix, repeated string) func(*net.TCPConn, int) {
	block := []byte(strings.Repeat(repeated, 16<<10/len(repeated)))
	return func(conn *net.TCPConn, _ int) {
		writeString(conn, prefix)
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// A server that sends a head, or a line of a body's framing, without end must get an error at once, in bounded memory with
// 100 requests at the same time, and its connection closed.
func TestHeadsWithoutEnd(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := []struct {
		name             string
		prefix, repeated string
	}{
		{"status line", "", "x"},
		{"status line after the protocol", "HTTP/1.1 200 ", "x"},
		{"header line", ok + "A: ", "x"},
		{"header name", ok, "x"},
		{"header lines", ok, "Ab: c\r\n"},
		{"header lines without text", ok, "a:\n"},
		{"continued header line", ok + "A: b\r\n", " c\r\n"},
		{"interim responses", "", "HTTP/1.1 100 Continue\r\n\r\n"},
		{"interim responses with headers", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		{"empty lines", "", "\r\n"},
		{"chunk size", ok + "Transfer-Encoding: chunked\r\n\r\n", "0"},
		{"chunk extension", ok + "Transfer-Encoding: chunked\r\n\r\n2;", "x"},
		{"trailer line", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\nA: ", "x"},
		{"trailer lines", ok + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n", "Ab: c\r\n"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, sendWithoutEnd(test.prefix, test.repeated))
			budget := limit.NewBudget(4 << 20)
			client := New(Config{DialTimeout: time.Second, Budget: budget})
			start := time.Now()
			growth := limittest.HeapGrowth(func() {
				var wait sync.WaitGroup
				for range 100 {
					wait.Add(1)
					go func() {
						defer wait.Done()
						if body, err := send(client, server.address); err == nil {
							t.Errorf("got %q as a complete response, want an error", body)
						}
					}()
				}
				wait.Wait()
			})
			t.Logf("heap growth %d KiB in %v", growth>>10, time.Since(start))
			if growth > maxHeapGrowth {
				t.Errorf("got a heap growth of %d MiB, want at most %d MiB", growth>>20, maxHeapGrowth>>20)
			}
			if took, want := time.Since(start), 3*time.Second; took > want {
				t.Errorf("got the errors after %v, want them within %v", took, want)
			}
			if got := budget.Taken(); got != 0 {
				t.Errorf("got %d bytes of the budget taken at the end, want 0", got)
			}
			if got := len(client.idle[server.address]); got != 0 {
				t.Errorf("got %d idle connections, want them closed", got)
			}
		})
	}
}

// Guards against the parser ignoring the error of headers that are too large, as it does within a continued header line: no
// matter where the limit is reached, reading must stop there.
func TestHeadLimitStopsReading(t *testing.T) {
	for padding := range 64 {
		near, far := net.Pipe()
		sent := make(chan int)
		go func() {
			total := 0
			block := "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", padding) + "\r\n"
			for {
				n, err := io.WriteString(far, block)
				total += n
				if err != nil {
					sent <- total
					return
				}
				block = strings.Repeat(" c\r\n", 16)
			}
		}()
		c := newConn(near, nil)
		if _, err := c.readResponse(http.MethodGet); !errors.Is(err, errHeadTooLarge) { //nolint:bodyclose // there is no response
			t.Errorf("padding %d: got %v, want %v", padding, err, errHeadTooLarge)
		}
		c.close()
		if got, want := <-sent, limit.HeadBytes+2*readBufferSize; got > want {
			t.Errorf("padding %d: got %d bytes read, want at most %d", padding, got, want)
		}
	}
}

// Large headers, a few interim responses and large bodies are valid and must arrive whole.
func TestLargeResponsesArriveWhole(t *testing.T) {
	const body = 20 << 20
	tests := []struct {
		name, head string
		body       int
	}{
		{"headers of 24 KiB", "HTTP/1.1 200 OK\r\nA: " + strings.Repeat("x", 24<<10) + "\r\nContent-Length: 2\r\n\r\n", 2},
		{"200 headers", "HTTP/1.1 200 OK\r\n" + strings.Repeat("A: b\r\n", 200) + "Content-Length: 2\r\n\r\n", 2},
		{"interim responses", strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", limit.InterimResponses) + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", 2},
		{"body of 20 MiB", "HTTP/1.1 200 OK\r\nContent-Length: 20971520\r\n\r\n", body},
		{"body of empty lines", "HTTP/1.1 200 OK\r\nContent-Length: 4096\r\n\r\n", 4096},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
				writeString(conn, test.head)
				_, _ = conn.Write(bytes.Repeat([]byte("\n"), test.body))
			})
			client := New(Config{DialTimeout: time.Second, Budget: limit.NewBudget(1 << 20)})
			for range 2 {
				got, err := send(client, server.address)
				if err != nil || len(got) != test.body {
					t.Errorf("got %d bytes, %v, want %d", len(got), err, test.body)
				}
			}
			if got := server.conns.Load(); got != 1 {
				t.Errorf("got %d connections, want the first one reused", got)
			}
		})
	}
}

// A body that is sent after its headers must arrive as it was, and a request that is answered before its body has been
// read must not mix with the next one.
func TestLargeRequestBody(t *testing.T) {
	bodies := make(chan []byte, 1)
	server := newBodyServer(t, bodies)
	want := bytes.Repeat([]byte("body"), 64<<10)
	response, err := newClient().Send(context.Background(), Request{
		Address: server, Method: http.MethodPost, Target: "/", Host: "h", Header: http.Header{}, Body: want,
	})
	if err != nil {
		t.Fatal(err)
	}
	response.Discard()
	if got := <-bodies; !bytes.Equal(got, want) {
		t.Errorf("got a body of %d bytes, want the %d bytes sent", len(got), len(want))
	}
}

// newBodyServer returns the address of a server that sends the body of its request to the channel.
func newBodyServer(t *testing.T, bodies chan<- []byte) string {
	t.Helper()
	server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies <- body
	})}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = server.Close() })
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String()
}

// FuzzHead checks that no bytes that a server sends make the client panic, hold more memory than the limits allow or keep
// memory of the budget.
func FuzzHead(f *testing.F) {
	f.Add([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"))
	f.Add([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n\r\n"))
	f.Add([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"))
	f.Add(bytes.Repeat([]byte("A:\n"), limit.HeadBytes))
	f.Fuzz(func(t *testing.T, content []byte) {
		near, far := net.Pipe()
		go func() {
			_, _ = far.Write(content)
			_ = far.Close()
		}()
		budget := limit.NewBudget(1 << 20)
		c := newConn(near, budget)
		response, err := c.readResponse(http.MethodGet)
		if err == nil {
			_, err = io.Copy(io.Discard, response.Body)
			_ = response.Body.Close()
		}
		if c.head.bytes > limit.HeadBytes && !errors.Is(err, errHeadTooLarge) {
			t.Errorf("got %d bytes of headers and %v, want at most %d or %v", c.head.bytes, err, limit.HeadBytes, errHeadTooLarge)
		}
		c.close()
		if got := budget.Taken(); got != 0 {
			t.Errorf("got %d bytes of the budget taken at the end, want 0", got)
		}
	})
}
