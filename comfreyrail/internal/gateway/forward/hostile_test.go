package forward

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/limit/limittest"
	"github.com/comfreyrail/comfreyrail/rail/route"
)

// largeBody is the size in bytes of a body that is larger than an instance may hold for each of its requests.
const largeBody = 20 << 20

// respondLarge returns a function that sends a response with the first sent bytes of a large body, and then closes the
// connection if some are missing.
func respondLarge(status, sent int) func(net.Conn, *http.Request, int) {
	return func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 %d Status\r\nId: %s\r\nContent-Length: %d\r\n\r\n", status, request.Header.Get("Id"), largeBody)
		_, _ = conn.Write(bytes.Repeat([]byte("x"), sent))
		if sent < largeBody {
			_ = conn.Close()
		}
	}
}

// respondChunks sends a large body in chunks, and closes the connection without the last one unless whole is set.
func respondChunks(whole bool) func(net.Conn, *http.Request, int) {
	return func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nTransfer-Encoding: chunked\r\n\r\n", request.Header.Get("Id"))
		chunk := fmt.Sprintf("%x\r\n%s\r\n", largeBody/16, strings.Repeat("x", largeBody/16))
		for range 16 {
			_, _ = io.WriteString(conn, chunk)
		}
		if whole {
			_, _ = io.WriteString(conn, "0\r\n\r\n")
		} else {
			_ = conn.Close()
		}
	}
}

// respondUntilReset sends a body without a length and resets the connection.
func respondUntilReset(size int) func(net.Conn, *http.Request, int) {
	return func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nConnection: close\r\n\r\n", request.Header.Get("Id"))
		_, _ = conn.Write(bytes.Repeat([]byte("x"), size))
		time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
		_ = conn.(*net.TCPConn).SetLinger(0)
		_ = conn.Close()
	}
}

// withLongTimeouts gives large responses enough time on a busy machine.
func withLongTimeouts(config *route.Config) {
	for i := range config.Routes {
		config.Routes[i].Timeout = time.Minute
	}
}

// Guards against a part of a large response reaching the caller as a whole one: it must arrive whole, or broken off.
func TestLargeResponses(t *testing.T) {
	tests := []struct {
		name, path string
		respond    func(net.Conn, *http.Request, int)
		status     int
		complete   bool
	}{
		{"once: large", "/once/", respondLarge(200, largeBody), 200, true},
		{"safe: large", "/safe/", respondLarge(200, largeBody), 200, true},
		{"safe: large failure", "/safe/", respondLarge(500, largeBody), 500, true},
		{"single: large failure of a stream", "/single/", respondLarge(500, largeBody), 500, true},
		{"safe: large, in chunks", "/safe/", respondChunks(true), 200, true},
		{"once: broken off in the middle", "/once/", respondLarge(200, largeBody/2), 200, false},
		{"once: broken off at the end", "/once/", respondLarge(200, largeBody-1), 200, false},
		{"single: failure of a stream, broken off", "/single/", respondLarge(500, largeBody-1), 500, false},
		{"safe: without the last chunk", "/safe/", respondChunks(false), 200, false},
		{"safe: reset without a length", "/safe/", respondUntilReset(largeBody), 200, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGateway(t, withLongTimeouts, newServer(t, "first", test.respond), newServer(t, "second", test.respond))
			response, body, complete := g.send(t, test.path, "")
			if response.StatusCode != test.status || complete != test.complete {
				t.Errorf("got status %d, complete %v with %d bytes, want %d, %v", response.StatusCode, complete, len(body), test.status, test.complete)
			}
			if complete && len(body) != largeBody {
				t.Errorf("got %d bytes as a complete body, want %d", len(body), largeBody)
			}
		})
	}
}

// A response that breaks off within limit.HeldBytes must still be retried at another server.
func TestSmallBrokenResponsesAreRetried(t *testing.T) {
	for _, size := range []int{1, limit.FreeBytes, limit.HeldBytes - 1} {
		var once sync.Once
		respond := func(conn net.Conn, request *http.Request, n int) {
			broken := false
			once.Do(func() { broken = true })
			if broken {
				respondUntilReset(size)(conn, request, n)
				return
			}
			respondOK(conn, request, n)
		}
		g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
		if response, body, _ := g.send(t, "/safe/", ""); response.StatusCode != http.StatusOK || body != "ok" {
			t.Errorf("%d bytes: got status %d and %d bytes, want the second server's response", size, response.StatusCode, len(body))
		}
	}
}

// maxHeapGrowth is how much the heap may grow while 100 requests meet a hostile server, in bytes, beyond what 100 ordinary
// requests take in the same process, which also runs the callers and the servers.
const maxHeapGrowth = 8 << 20

// writeWithoutEnd writes the header of a response and then the text again and again until the connection fails.
func writeWithoutEnd(contentHeader, text string) func(net.Conn, *http.Request, int) {
	block := []byte(strings.Repeat(text, 16<<10/len(text)))
	return func(conn net.Conn, request *http.Request, _ int) {
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\n%s\r\n", request.Header.Get("Id"), contentHeader)
		for {
			if _, err := conn.Write(block); err != nil {
				return
			}
		}
	}
}

// A server that sends a body or an event without end must not take more memory than the budget allows with 100 requests at
// the same time, and its response must end broken off, at the latest when the route's timeout passes.
func TestBodiesWithoutEnd(t *testing.T) {
	tests := []struct{ name, path, contentHeader, text string }{
		{"plain body without length", "/once/", "Connection: close\r\n", "x"},
		{"plain body in chunks", "/once/", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"},
		{"trailers", "/once/", "Transfer-Encoding: chunked\r\n\r\n0", "A: b\r\n"},
		{"trailers of a stream", "/single/", "Transfer-Encoding: chunked\r\n\r\n0", "A: b\r\n"},
		{"chunk extensions", "/once/", "Transfer-Encoding: chunked\r\n", "4;a=" + strings.Repeat("b", 100) + "\r\nbody\r\n"},
		{"chunk size", "/once/", "Transfer-Encoding: chunked\r\n", "0"},
		{"event without end", "/single/", "Connection: close\r\n", "data: x"},
		{"event of many lines", "/single/", "Connection: close\r\n", "data: x\n"},
		{"event in chunks", "/single/", "Transfer-Encoding: chunked\r\n", "4\r\nbody\r\n"},
	}
	ordinary := newGateway(t, nil, newServer(t, "only", respondFiveEvents)).heapGrowth(t, "/stream/")
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := newGateway(t, nil, newServer(t, "only", writeWithoutEnd(test.contentHeader, test.text)))
			growth := g.heapGrowth(t, test.path)
			t.Logf("heap growth %d KiB, %d KiB with ordinary requests", growth>>10, ordinary>>10)
			if growth > ordinary+maxHeapGrowth {
				t.Errorf("got a heap growth of %d MiB, want at most %d MiB", growth>>20, (ordinary+maxHeapGrowth)>>20)
			}
			if got := g.memory.Taken(); got != 0 {
				t.Errorf("got %d bytes of the budget taken at the end, want 0", got)
			}
		})
	}
}

// discard sends a request and reads the response without keeping it; it reports whether a success was complete.
func (g *gateway) discard(t *testing.T, path string) (complete bool) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.url+path, http.NoBody)
	if err != nil {
		t.Error(err)
		return false
	}
	request.Header.Set("Id", "r1")
	response, err := (&http.Transport{DisableKeepAlives: true, WriteBufferSize: 1 << 10, ReadBufferSize: 1 << 10}).RoundTrip(request)
	if err != nil {
		return false
	}
	defer func() { _ = response.Body.Close() }()
	var buffer [1 << 10]byte
	for {
		if _, err = response.Body.Read(buffer[:]); err != nil {
			return err == io.EOF && response.StatusCode == http.StatusOK //nolint:errorlint // a reader returns io.EOF itself
		}
	}
}

// heapGrowth returns the largest growth of the heap in bytes while 100 requests are sent at the same time. No response but
// an ordinary one may be complete.
func (g *gateway) heapGrowth(t *testing.T, path string) uint64 {
	t.Helper()
	return limittest.HeapGrowth(func() {
		var wait sync.WaitGroup
		for range 100 {
			wait.Add(1)
			go func() {
				defer wait.Done()
				if complete := g.discard(t, path); complete && path != "/stream/" {
					t.Error("got a complete response, want one broken off")
				}
			}()
		}
		wait.Wait()
	})
}

// A request body for which no memory is left must be refused as not run, and smaller ones still be served.
func TestRequestBodiesAreBounded(t *testing.T) {
	s := newServer(t, "only", respondOK)
	g := newGateway(t, nil, s)
	g.requests.Take(requestMemory)
	for _, test := range []struct{ size, status, received int }{{limit.FreeBytes - 1, 200, 1}, {2 * limit.FreeBytes, 503, 1}} {
		request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, g.url+"/once/", bytes.NewReader(make([]byte, test.size)))
		if err != nil {
			t.Fatal(err)
		}
		request.Header.Set("Id", "r1")
		response, err := http.DefaultClient.Do(request)
		if err != nil {
			t.Fatal(err)
		}
		_ = response.Body.Close()
		if response.StatusCode != test.status || s.received() != test.received {
			t.Errorf("%d bytes: got status %d, %d requests at the server, want %d, %d", test.size, response.StatusCode, s.received(), test.status, test.received)
		}
	}
}

// Guards against a stalled stream that trickles never ending: bytes without a complete event must not count as progress,
// so that another server is tried.
func TestTricklingStreamIsReplaced(t *testing.T) {
	var once sync.Once
	respond := func(conn net.Conn, request *http.Request, n int) {
		trickles := false
		once.Do(func() { trickles = true })
		if !trickles {
			respondFiveEvents(conn, request, n)
			return
		}
		writeStreamHeader(conn, request)
		writeEvent(conn, 1, "1")
		for {
			if _, err := io.WriteString(conn, "1\r\n \r\n"); err != nil {
				return
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	g := newGateway(t, nil, newServer(t, "first", respond), newServer(t, "second", respond))
	start := time.Now()
	_, body, complete := g.send(t, "/stream/", "")
	if !complete || strings.Count(body, "id: ") != 5 {
		t.Errorf("got %q, complete %v, want five events", body, complete)
	}
	if took, want := time.Since(start), 3*time.Second; took > want {
		t.Errorf("got the end after %v, want it within %v", took, want)
	}
}

// Guards against a slow but sound stream being cut: its events come with gaps that are longer than the target.
func TestSlowStreamIsNotCut(t *testing.T) {
	respond := func(conn net.Conn, request *http.Request, _ int) {
		writeStreamHeader(conn, request)
		for id := 1; id <= 3; id++ {
			time.Sleep(600 * time.Millisecond)
			writeEvent(conn, id, "x")
		}
		_, _ = io.WriteString(conn, "0\r\n\r\n")
	}
	s := newServer(t, "only", respond)
	_, body, complete := newGateway(t, nil, s).send(t, "/stream/", "")
	if !complete || strings.Count(body, "id: ") != 3 || s.received() != 1 {
		t.Errorf("got %q, complete %v after %d attempts, want three events of one attempt", body, complete, s.received())
	}
}
