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

// warmPath is the path that the closing backend answers and keeps the connection open for.
const warmPath = "/warm"

// closingBackend reads requests from raw connections and closes them without an answer.
type closingBackend struct {
	address string

	mu   sync.Mutex
	runs int
}

// newClosingBackend answers requests for warmPath and closes the connection after reading any other.
func newClosingBackend(t *testing.T) *closingBackend {
	t.Helper()
	return newRawBackend(t, (*closingBackend).serveAndClose)
}

// newRawBackend accepts connections and serves each one.
func newRawBackend(t *testing.T, serve func(*closingBackend, net.Conn)) *closingBackend {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	b := &closingBackend{address: listener.Addr().String()}
	go func() {
		for {
			opened, err := listener.Accept()
			if err != nil {
				return
			}
			go serve(b, opened)
		}
	}()
	return b
}

func (b *closingBackend) serveAndClose(opened net.Conn) {
	defer func() { _ = opened.Close() }()
	reader := bufio.NewReader(opened)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err = io.ReadAll(request.Body); err != nil {
			return
		}
		if request.URL.Path != warmPath {
			b.run()
			return
		}
		_, _ = io.WriteString(opened, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	}
}

// serveRefusedStreams speaks enough HTTP/2 to refuse each connection's first stream after running it;
// a connection with HTTP/1 is closed after the request has run.
func (b *closingBackend) serveRefusedStreams(opened net.Conn) {
	defer func() { _ = opened.Close() }()
	const (
		headersFrame, resetFrame, settingsFrame = 0x1, 0x3, 0x4
		refusedStream                           = 0x7
		indexedStatus200                        = 0x88
		endOfHeadersAndStream                   = 0x5
	)
	reader := bufio.NewReader(opened)
	preface := make([]byte, len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))
	if _, err := io.ReadFull(reader, preface); err != nil {
		return
	}
	if !strings.HasPrefix(string(preface), "PRI") {
		b.run()
		return
	}
	_, _ = opened.Write([]byte{0, 0, 0, settingsFrame, 0, 0, 0, 0, 0})
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
		b.run()
		if refused {
			_, _ = opened.Write(append([]byte{0, 0, 1, headersFrame, endOfHeadersAndStream}, append(header[5:9:9], indexedStatus200)...))
			continue
		}
		refused = true
		_, _ = opened.Write(append([]byte{0, 0, 4, resetFrame, 0}, append(header[5:9:9], 0, 0, 0, refusedStream)...))
	}
}

func (b *closingBackend) run() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs++
}

func (b *closingBackend) count() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs
}

// newRedirectingBackend runs every request, and answers those outside /moved with a redirect to it.
func newRedirectingBackend(t *testing.T, status int) *closingBackend {
	t.Helper()
	b := new(closingBackend)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b.run()
		if r.URL.Path != "/moved" {
			w.Header().Set("Location", "/moved")
			w.WriteHeader(status)
		}
	}))
	t.Cleanup(server.Close)
	b.address = strings.TrimPrefix(server.URL, "http://")
	return b
}
