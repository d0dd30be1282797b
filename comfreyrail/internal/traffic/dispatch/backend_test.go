package dispatch

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
)

// keepAlivePath is the path whose requests serveAndClose responds to without closing the connection.
const keepAlivePath = "/warm"

// testBackend is a backend server that counts the requests that it runs.
type testBackend struct {
	address string

	mu   sync.Mutex
	runs int
}

// newClosingBackend returns a backend that closes the connection after running a request, without a response.
//
// Requests for keepAlivePath aren't counted and leave an idle connection for the next request.
func newClosingBackend(t *testing.T) *testBackend {
	t.Helper()
	return newRawBackend(t, (*testBackend).serveAndClose)
}

// newRawBackend returns a backend that calls serve in a new goroutine for each connection.
func newRawBackend(t *testing.T, serve func(*testBackend, net.Conn)) *testBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &testBackend{address: listener.Addr().String()}
	go func() {
		for {
			netConn, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(b, netConn)
		}
	}()
	return b
}

// serveAndClose serves the connection as newClosingBackend describes.
func (b *testBackend) serveAndClose(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	reader := bufio.NewReader(netConn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.ReadAll(request.Body); err != nil {
			return
		}
		if request.URL.Path != keepAlivePath {
			b.recordRun()
			return
		}
		_, _ = io.WriteString(netConn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// serveRefusedStreams implements enough of HTTP/2 to refuse the first stream of each connection after running its
// request. It closes a connection that uses HTTP/1 after the request has run.
func (b *testBackend) serveRefusedStreams(netConn net.Conn) {
	defer func() { _ = netConn.Close() }()
	const (
		headersFrame, resetFrame, settingsFrame = 0x1, 0x3, 0x4
		refusedStream                           = 0x7
		indexedStatus200                        = 0x88
		endOfHeadersAndStream                   = 0x5
	)
	reader := bufio.NewReader(netConn)
	preface := make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if _, err := io.ReadFull(reader, preface); err != nil {
		return
	}
	if !strings.HasPrefix(string(preface), "PRI") {
		b.recordRun()
		return
	}
	_, _ = netConn.Write([]byte{0, 0, 0, settingsFrame, 0, 0, 0, 0, 0})
	for refused := false; ; {
		header := make([]byte, 9)
		if _, err := io.ReadFull(reader, header); err != nil {
			return
		}
		length := int64(header[0])<<16 | int64(header[1])<<8 | int64(header[2])
		if _, err := io.CopyN(io.Discard, reader, length); err != nil {
			return
		}
		if header[3] != headersFrame {
			continue
		}
		b.recordRun()
		if refused {
			_, _ = netConn.Write(append([]byte{0, 0, 1, headersFrame, endOfHeadersAndStream}, append(header[5:9:9], indexedStatus200)...))
			continue
		}
		refused = true
		_, _ = netConn.Write(append([]byte{0, 0, 4, resetFrame, 0}, append(header[5:9:9], 0, 0, 0, refusedStream)...))
	}
}

// recordRun counts a request as run.
func (b *testBackend) recordRun() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs++
}

// runCount returns the number of requests run so far.
func (b *testBackend) runCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// newRedirectingBackend returns a backend that runs every request and redirects those outside /moved to /moved with the
// status code.
func newRedirectingBackend(t *testing.T, status int) *testBackend {
	t.Helper()
	b := new(testBackend)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.recordRun()
		if r.URL.Path != "/moved" {
			w.Header().Set("Location", "/moved")
			w.WriteHeader(status)
		}
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}
