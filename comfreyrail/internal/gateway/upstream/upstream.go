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
)

// Times and sizes of connections.
const (
	// defaultIdle is how long a connection is kept if the server does not say how long it keeps it.
	defaultIdle = 4 * time.Second
	// idleMargin is how long before the server's own limit a connection is given up.
	idleMargin = time.Second
	// readBuffer is the size of the buffer of a connection in bytes.
	readBuffer = 2 << 10
	// unacknowledgedTime is how long sent bytes may stay unacknowledged before the connection fails.
	unacknowledgedTime = 3 * time.Second
)

// Config configures a Pool.
type Config struct {
	// DialTimeout is the longest time to open a connection.
	DialTimeout time.Duration
	// Opened is called for each new connection; nil does nothing.
	Opened func()
}

// Pool keeps connections to backend servers; its methods may be called concurrently.
type Pool struct {
	config Config
	mu     sync.Mutex
	idle   map[string][]*conn
}

// New returns a Pool without connections.
func New(config Config) *Pool {
	if config.Opened == nil {
		config.Opened = func() {}
	}
	return &Pool{config: config, idle: make(map[string][]*conn)}
}

// conn is one connection.
type conn struct {
	net.Conn

	reader    *bufio.Reader
	until     time.Time
	onTimeout func() time.Duration
}

// Read reads; where a deadline passes first, it asks whether and for how long to go on.
func (c *conn) Read(b []byte) (n int, err error) {
	for {
		n, err = c.Conn.Read(b)
		if n > 0 || c.onTimeout == nil || !errors.Is(err, os.ErrDeadlineExceeded) {
			return n, err
		}
		more := c.onTimeout()
		if more <= 0 {
			return n, err
		}
		if err = c.SetReadDeadline(time.Now().Add(more)); err != nil {
			return 0, err
		}
	}
}

// Request is a request to a backend server.
type Request struct {
	// Address is the host and port of the backend server.
	Address string
	// Method is the method.
	Method string
	// Target is the path with the query, as the caller sent it.
	Target string
	// Host is the host that the caller asked for.
	Host string
	// Header holds the headers.
	Header http.Header
	// Body is the whole body.
	Body []byte
	// NewConnection demands a connection that has not been used.
	NewConnection bool
	// MaxIdle is the greatest number of idle connections to the address that are kept.
	MaxIdle int
	// Timeout is how long the answer may take until OnTimeout is asked; zero means forever.
	Timeout time.Duration
	// OnTimeout is asked whenever nothing has come for the time given last; it returns how long to wait on, zero to give up.
	OnTimeout func() time.Duration
}

// Error is a failure before an answer came.
type Error struct {
	// Sent tells that bytes of the request may have reached the backend server.
	Sent bool
	// Cause is what failed.
	Cause error
}

// Error says what failed and whether the request may have run.
func (e *Error) Error() string {
	if e.Sent {
		return fmt.Sprintf("sent, no answer: %v", e.Cause)
	}
	return fmt.Sprintf("not sent: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// Response is the beginning of an answer with its body to be read.
type Response struct {
	// Status is the status.
	Status int
	// Header holds the headers.
	Header http.Header
	// Length is the length of the body, -1 if it is not known.
	Length int64

	body    io.ReadCloser
	pool    *Pool
	conn    *conn
	address string
	keep    int // idle connections to the address
	closing bool
	whole   bool
	release func() bool
	ctx     context.Context //nolint:containedctx // ends with the answer
}

// Send sends the request once and returns the beginning of the answer; the context's end breaks the connection.
func (p *Pool) Send(ctx context.Context, request Request) (answer *Response, err error) {
	c, err := p.take(ctx, request)
	if err != nil {
		return nil, &Error{Cause: err}
	}
	release := context.AfterFunc(ctx, func() { _ = c.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if err != nil {
			release()
			_ = c.Close()
		}
	}()
	c.onTimeout = nil
	if request.OnTimeout != nil {
		c.onTimeout = func() time.Duration {
			if ctx.Err() != nil {
				return 0
			}
			return request.OnTimeout()
		}
		_ = c.SetReadDeadline(time.Now().Add(request.Timeout))
	}
	if err = ctx.Err(); err != nil {
		return nil, &Error{Cause: err}
	}
	if _, err = c.Write(encode(request)); err != nil {
		return nil, &Error{Sent: true, Cause: err}
	}
	response, err := readResponse(c.reader, request.Method) //nolint:bodyclose // the Response ends or keeps the connection
	if err != nil {
		return nil, &Error{Sent: true, Cause: err}
	}
	if _, limited := ctx.Deadline(); limited && ctx.Err() != nil {
		return nil, &Error{Sent: true, Cause: ctx.Err()}
	}
	return &Response{
		Status: response.StatusCode, Header: response.Header, Length: response.ContentLength, body: response.Body,
		pool: p, conn: c, address: request.Address, keep: request.MaxIdle, closing: response.Close, release: release, ctx: ctx,
	}, nil
}

// readResponse reads the beginning of the final answer.
func readResponse(reader *bufio.Reader, method string) (response *http.Response, err error) {
	for {
		response, err = http.ReadResponse(reader, &http.Request{Method: method})
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// encode writes the request as it goes over the wire.
func encode(request Request) []byte {
	var out bytes.Buffer
	out.Grow(len(request.Body) + readBuffer)
	out.WriteString(request.Method + " " + request.Target + " HTTP/1.1\r\nHost: " + request.Host + "\r\n")
	_ = request.Header.Write(&out)
	if len(request.Body) > 0 || request.Method != http.MethodGet && request.Method != http.MethodHead {
		out.WriteString("Content-Length: " + strconv.Itoa(len(request.Body)) + "\r\n")
	}
	out.WriteString("\r\n")
	out.Write(request.Body)
	return out.Bytes()
}

// take returns an idle connection that is sound, or a new one.
func (p *Pool) take(ctx context.Context, request Request) (*conn, error) {
	for !request.NewConnection {
		c := p.pop(request.Address)
		if c == nil {
			break
		}
		if sound(c) {
			return c, nil
		}
		_ = c.Close()
	}
	ctx, cancel := context.WithTimeout(ctx, p.config.DialTimeout)
	defer cancel()
	opened, err := new(net.Dialer).DialContext(ctx, "tcp", request.Address)
	if err != nil {
		return nil, err
	}
	p.config.Opened()
	limitUnacknowledged(opened)
	c := &conn{Conn: opened}
	c.reader = bufio.NewReaderSize(c, readBuffer)
	return c, nil
}

func (p *Pool) pop(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	kept := p.idle[address]
	if len(kept) == 0 {
		return nil
	}
	c := kept[len(kept)-1]
	p.idle[address] = kept[:len(kept)-1]
	return c
}

// push keeps an idle connection, unless so many to the address are kept already.
func (p *Pool) push(address string, c *conn, most int) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.idle[address]) >= most {
		return false
	}
	p.idle[address] = append(p.idle[address], c)
	return true
}

// CloseIdle closes the idle connections that are due, and all to addresses that are no longer wanted.
func (p *Pool) CloseIdle(now time.Time, wanted func(address string) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, kept := range p.idle {
		rest := kept[:0]
		for _, c := range kept {
			if now.Before(c.until) && wanted(address) {
				rest = append(rest, c)
				continue
			}
			_ = c.Close()
		}
		p.idle[address] = rest
		if len(rest) == 0 {
			delete(p.idle, address)
		}
	}
}

// Read reads the body.
func (a *Response) Read(b []byte) (n int, err error) {
	n, err = a.body.Read(b)
	if errors.Is(err, io.EOF) {
		a.whole = true
	}
	return n, err
}

// SetOnTimeout replaces what is asked whenever a deadline of reading passes.
func (a *Response) SetOnTimeout(ask func() time.Duration) {
	a.conn.onTimeout = func() time.Duration {
		if a.ctx.Err() != nil {
			return 0
		}
		return ask()
	}
}

// SetReadDeadline sets the time at which reading fails.
func (a *Response) SetReadDeadline(at time.Time) { _ = a.conn.SetReadDeadline(at) }

// Close keeps the connection if the whole answer has been read and nothing follows, and ends it otherwise.
func (a *Response) Close() {
	running := a.release()
	if !running || !a.whole || a.closing || a.conn.reader.Buffered() > 0 {
		_ = a.conn.Close()
		return
	}
	keep := idleTime(a.Header)
	if keep <= 0 {
		_ = a.conn.Close()
		return
	}
	a.conn.onTimeout = nil
	_ = a.conn.SetDeadline(time.Time{})
	a.conn.until = time.Now().Add(keep)
	if !a.pool.push(a.address, a.conn, a.keep) {
		_ = a.conn.Close()
	}
}

// Discard ends the connection.
func (a *Response) Discard() {
	a.release()
	_ = a.conn.Close()
}

// idleTime returns how long the connection of an answer may be kept.
func idleTime(header http.Header) time.Duration {
	for _, part := range strings.Split(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if strings.EqualFold(name, "timeout") {
			seconds, err := strconv.Atoi(value)
			if err != nil {
				return defaultIdle
			}
			return time.Duration(seconds)*time.Second - idleMargin
		}
	}
	return defaultIdle
}
