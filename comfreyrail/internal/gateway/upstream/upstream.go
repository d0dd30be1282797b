package upstream

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/lastlook"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/limit"
)

// Times and sizes of connections.
const (
	// defaultIdleTimeout is the idle timeout of a connection if the server does not state one.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how long before the server's idle timeout the pool stops reusing a connection.
	idleMargin = time.Second
	// readBufferSize is the size of the read buffer of a connection in bytes. It is also the estimated size of a request
	// without its body.
	readBufferSize = 2 << 10
	// tcpUserTimeout is the maximum time for which sent bytes may stay unacknowledged before the connection fails.
	tcpUserTimeout = 3 * time.Second
	// maxLateBytes is the maximum number of bytes that are read after a deadline before it takes effect.
	maxLateBytes = 256 << 10
)

// Config holds the settings of a Client.
type Config struct {
	// DialTimeout is the timeout of opening a connection.
	DialTimeout time.Duration
	// Clock is the clock of DialTimeout; nil means an ordinary one.
	Clock *runclock.Clock
	// Opened is called after each new connection is opened; it may be nil.
	Opened func()
	// Budget bounds the memory of large response headers; nil means no bound.
	Budget *limit.Budget
}

// Client sends requests to backend servers and keeps a pool of idle connections to them; its methods may be called
// concurrently.
type Client struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a Client without connections.
func New(config Config) *Client {
	if config.Opened == nil {
		config.Opened = func() {}
	}
	return &Client{config: config, idle: make(map[string][]*conn)}
}

// conn is a connection with a read buffer and a handler for read timeouts.
type conn struct {
	net.Conn

	reader        *bufio.Reader
	head          headMeter
	idleUntil     time.Time
	onReadTimeout func() time.Duration
	ended         func() bool // whether the context of the request has ended
	lateBytes     int         // bytes read after the current deadline
}

// Read reads from the connection, and fails if a response's heads become too large. When the read deadline passes and no bytes have
// arrived, it calls onReadTimeout, which returns how long to continue.
func (c *conn) Read(b []byte) (n int, err error) {
	for {
		n, err = c.readArrived(b)
		// No bytes are returned with the error: the parser ignores errors within a continued header line as long as bytes arrive.
		if headErr := c.head.count(b[:n]); headErr != nil {
			return 0, headErr
		}
		if n > 0 || c.onReadTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) || c.ended() {
			return n, err
		}
		more := c.onReadTimeout()
		if more <= 0 {
			return n, err
		}
		if err = c.setReadDeadline(time.Now().Add(more)); err != nil {
			return 0, err
		}
	}
}

// passedDeadline is a deadline that has passed.
var passedDeadline = time.Unix(1, 0)

// setReadDeadline sets the read deadline. If the context of the request has ended, whose deadline it would replace, that stays in force.
func (c *conn) setReadDeadline(at time.Time) error {
	if err := c.SetReadDeadline(at); err != nil || !c.ended() {
		return err
	}
	return c.SetReadDeadline(passedDeadline)
}

// readArrived reads from the connection. A deadline takes effect once nothing is left to read or maxLateBytes have been read after it.
func (c *conn) readArrived(b []byte) (n int, err error) {
	n, err = c.Conn.Read(b)
	if !errors.Is(err, os.ErrDeadlineExceeded) || c.lateBytes >= maxLateBytes {
		c.lateBytes = 0
		return n, err
	}
	n, err = lastlook.Read(c.Conn, b)
	c.lateBytes += n
	return n, err
}

// Request is an HTTP request to a backend server.
type Request struct {
	// Address is the host and port of the backend server.
	Address string
	// Method is the HTTP method.
	Method string
	// Target is the request target, the path with the query, as the caller sent it.
	Target string
	// Host is the value of the Host header, as the caller sent it.
	Host string
	// Header holds the request headers except Host and Content-Length.
	Header http.Header
	// Body is the complete body.
	Body []byte
	// NewConnection requires a new connection instead of an idle one.
	NewConnection bool
	// MaxIdle is the maximum number of idle connections to the address, counted when this request's connection becomes idle.
	MaxIdle int
	// ReadTimeout is the time after which OnReadTimeout is first called; it applies only if OnReadTimeout is set. With zero,
	// OnReadTimeout is called at once.
	ReadTimeout time.Duration
	// OnReadTimeout is called when the headers of the response have not been read within ReadTimeout. It returns how
	// long to wait before it is called again, or zero to fail. If it is nil, there is no read deadline; SetOnReadTimeout and
	// SetReadDeadline change this while the body is read.
	OnReadTimeout func() time.Duration
}

// Error is a failure of a request before a response was received.
type Error struct {
	// MayHaveBeenSent reports whether bytes of the request may have reached the backend server.
	MayHaveBeenSent bool
	// Cause is the underlying error.
	Cause error
}

// Error returns the cause and whether the request may have been sent.
func (e *Error) Error() string {
	if e.MayHaveBeenSent {
		return fmt.Sprintf("may have been sent, no valid response: %v", e.Cause)
	}
	return fmt.Sprintf("not sent: %v", e.Cause)
}

// Unwrap returns Cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is the status and headers of a response whose body has yet to be read. Close or Discard must be called once.
type Response struct {
	// Status is the HTTP status code.
	Status int
	// Header holds the response headers.
	Header http.Header
	// Length is the length of the body in bytes, -1 if unknown.
	Length int64
	// Framed reports whether the body has a length or is sent in chunks; the end of the connection ends it otherwise.
	Framed bool

	body          io.ReadCloser
	client        *Client
	conn          *conn
	address       string
	maxIdle       int // maximum number of idle connections to the address
	closeAfter    bool
	complete      bool
	detachContext func() bool // stops the context from failing the connection; returns false if the context has ended
}

// Send sends the request once and returns the response after reading its headers; the error is an *Error. The end of the
// context makes the connection fail, also while the body is read, once all that had arrived has been read.
func (client *Client) Send(ctx context.Context, request Request) (response *Response, err error) {
	c, err := client.acquire(ctx, request)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	detachContext := context.AfterFunc(ctx, func() { _ = c.SetDeadline(passedDeadline) })
	defer func() {
		if err != nil {
			detachContext()
			c.close()
		}
	}()
	c.onReadTimeout, c.ended = request.OnReadTimeout, func() bool { return ctx.Err() != nil }
	if request.OnReadTimeout != nil {
		_ = c.setReadDeadline(time.Now().Add(request.ReadTimeout))
	}
	if err = ctx.Err(); err != nil {
		return nil, &Error{Cause: err}
	}
	if err = c.send(request); err != nil {
		return nil, &Error{MayHaveBeenSent: true, Cause: err}
	}
	parsed, err := c.readResponse(request.Method) //nolint:bodyclose // the Response closes or reuses the connection
	if err != nil {
		return nil, &Error{MayHaveBeenSent: true, Cause: err}
	}
	return &Response{
		Status: parsed.StatusCode, Header: parsed.Header, Length: parsed.ContentLength, Framed: parsed.ContentLength >= 0 || len(parsed.TransferEncoding) > 0, body: parsed.Body,
		client: client, conn: c, address: request.Address, maxIdle: request.MaxIdle, closeAfter: parsed.Close, detachContext: detachContext,
	}, nil
}

// readResponse reads the status and headers of the final response and skips those with status 1xx.
func (c *conn) readResponse(method string) (response *http.Response, err error) {
	c.head.begin()
	for range limit.InterimResponses + 1 {
		response, err = http.ReadResponse(c.reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= http.StatusOK {
			c.head.active = false
			return response, err
		}
		if response.StatusCode == http.StatusSwitchingProtocols {
			return nil, errUnexpectedUpgrade
		}
		arrived, _ := c.reader.Peek(c.reader.Buffered())
		if err = c.head.next(arrived); err != nil {
			return nil, err
		}
	}
	return nil, errInterimResponses
}

// send writes the request in the HTTP/1.1 wire format. A small body is sent together with the headers.
func (c *conn) send(request Request) error {
	var out bytes.Buffer
	out.Grow(readBufferSize + min(len(request.Body), limit.FreeBytes))
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&out)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	if len(request.Body) <= limit.FreeBytes {
		out.Write(request.Body)
		_, err := c.Write(out.Bytes())
		return err
	}
	if _, err := c.Write(out.Bytes()); err != nil {
		return err
	}
	_, err := c.Write(request.Body)
	return err
}

// close closes the connection and returns the memory of the headers.
func (c *conn) close() {
	c.head.release()
	_ = c.Close()
}

// acquire returns a reusable idle connection or a new one.
func (client *Client) acquire(ctx context.Context, request Request) (*conn, error) {
	for !request.NewConnection {
		c := client.popIdle(request.Address)
		if c == nil {
			break
		}
		if reusable(c) {
			return c, nil
		}
		_ = c.Close()
	}
	netConn, err := client.config.Clock.Dialer(client.config.DialTimeout)(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	client.config.Opened()
	setTCPUserTimeout(netConn)
	return newConn(netConn, client.config.Budget), nil
}

// newConn returns a conn with an empty read buffer.
func newConn(netConn net.Conn, budget *limit.Budget) *conn {
	c := &conn{Conn: netConn, head: headMeter{budget: budget}}
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

func (client *Client) popIdle(address string) *conn {
	client.mu.Lock()
	defer client.mu.Unlock()
	idle := client.idle[address]
	if len(idle) == 0 {
		return nil
	}
	c := idle[len(idle)-1]
	client.idle[address] = idle[:len(idle)-1]
	return c
}

// pushIdle adds an idle connection to the pool. It returns false if there are already limit connections to the address.
func (client *Client) pushIdle(address string, c *conn, limit int) bool {
	client.mu.Lock()
	defer client.mu.Unlock()
	if len(client.idle[address]) >= limit {
		return false
	}
	client.idle[address] = append(client.idle[address], c)
	return true
}

// CloseIdle closes the idle connections that have expired at now, and all those to addresses that are not in use.
func (client *Client) CloseIdle(now time.Time, inUse func(address string) bool) {
	client.mu.Lock()
	defer client.mu.Unlock()
	for address, idle := range client.idle {
		remaining := idle[:0]
		for _, c := range idle {
			if now.Before(c.idleUntil) && inUse(address) {
				remaining = append(remaining, c)
				continue
			}
			_ = c.Close()
		}
		client.idle[address] = remaining
		if len(remaining) == 0 {
			delete(client.idle, address)
		}
	}
}

// Read reads from the body.
func (r *Response) Read(b []byte) (n int, err error) {
	n, err = r.body.Read(b)
	if errors.Is(err, io.EOF) {
		r.complete = true
	}
	return n, err
}

// SetOnReadTimeout replaces the function that is called whenever the read deadline passes.
func (r *Response) SetOnReadTimeout(onReadTimeout func() time.Duration) {
	r.conn.onReadTimeout = onReadTimeout
}

// SetReadDeadline sets the time at which a blocked Read calls the OnReadTimeout function, or fails if there is none. It does nothing
// once the context of Send has ended.
func (r *Response) SetReadDeadline(at time.Time) { _ = r.conn.setReadDeadline(at) }

// Close returns the connection to the pool if the complete response has been read, nothing follows it and the server and the
// pool allow it. Otherwise it closes the connection.
func (r *Response) Close() {
	contextActive := r.detachContext()
	if !contextActive || !r.complete || r.closeAfter || r.conn.reader.Buffered() > 0 {
		r.conn.close()
		return
	}
	timeout := idleTimeout(r.Header)
	if timeout <= 0 {
		r.conn.close()
		return
	}
	r.conn.onReadTimeout = nil
	_ = r.conn.SetDeadline(time.Time{})
	r.conn.idleUntil = time.Now().Add(timeout)
	r.conn.head.release()
	if !r.client.pushIdle(r.address, r.conn, r.maxIdle) {
		r.conn.close()
	}
}

// Discard closes the connection.
func (r *Response) Discard() {
	r.detachContext()
	r.conn.close()
}

// idleTimeout returns how long the connection of a response may stay idle: the timeout in its Keep-Alive header less
// idleMargin, or defaultIdleTimeout if there is no valid one.
func idleTimeout(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return defaultIdleTimeout
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdleTimeout
}
