package graceful

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/lastlook"
)

// Timeouts of closing connections and the listener.
const (
	// closeResponseTimeout is the timeout of sending the response that ends a connection.
	closeResponseTimeout = time.Second
	// lingerTime is the time for which an ended connection is still read, because closing it at once
	// could send a reset that arrives before the response.
	lingerTime = 2 * time.Second
	// backlogTime is the time for which the listener accepts connections from its backlog before it closes.
	backlogTime = 50 * time.Millisecond
)

// endReason tells why a connection has been ended.
type endReason string

const (
	// endStopping is the reason of an end by the graceful shutdown.
	endStopping endReason = "stopping"
	// endIdle is the reason of an end after the idle timeout, or after the header timeout without any byte.
	endIdle endReason = "idle"
	// endHeaders is the reason of an end after the header timeout, in the middle of the headers.
	endHeaders endReason = "headers"
)

// conn is one connection of a caller.
type conn struct {
	*net.TCPConn

	id     uint64
	server *Server
	// headerTimeout is the timeout of reading a request's headers; zero means none.
	headerTimeout time.Duration
	closeOnce     sync.Once
	// ended is true once the connection has been ended.
	ended atomic.Bool
	// reason tells why the connection has been ended; it is set before ended.
	reason endReason
	// reading is true from the first byte of a request until the connection is idle again.
	reading atomic.Bool
	// serving is true from the start of the Handler until the connection is idle again.
	serving atomic.Bool
	// readAhead is true if net/http has read the first byte of the next request while it served the one before.
	readAhead atomic.Bool
	// dropped is the number of bytes that net/http has read and Read has discarded after the connection has been ended.
	dropped atomic.Int64
	// idleSince is the time since which the connection is idle between two requests, nil while it is not.
	idleSince atomic.Pointer[time.Time]

	// mu guards the fields below and the read deadline.
	mu sync.Mutex
	// ending is true while the graceful shutdown ends the connection, until a request arrives.
	ending bool
	// headersBegun is true if the next read deadline is that of headers whose first byte has been read ahead.
	headersBegun bool
}

// Read reads from the connection. A deadline doesn't end it while bytes are waiting; if none are, and no request is being served, it
// ends the connection. Once the connection has been ended, Read discards the bytes that arrive and returns io.EOF.
func (c *conn) Read(p []byte) (n int, err error) {
	n, err = c.TCPConn.Read(p)
	for errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.TCPConn.Read(p)
	}
	// net/http reads a single byte in the background while it serves a request, and at no other time.
	background := len(p) == 1
	if errors.Is(err, os.ErrDeadlineExceeded) && !background {
		n, err = c.readLate(p)
	}
	if n == 0 {
		return n, err
	}
	c.idleSince.Store(nil)
	if !c.server.startRead(c.id) {
		c.dropped.Add(int64(n))
		return 0, io.EOF
	}
	c.readAhead.Store(background)
	if !background {
		c.startHeaders()
	}
	return n, err
}

// readLate reads the bytes that are waiting after the read deadline has passed. If there are none, it ends the connection, unless a
// request is being served, and returns os.ErrDeadlineExceeded.
//
// The runtime reports a deadline that has passed without a look at the socket.
func (c *conn) readLate(p []byte) (n int, err error) {
	n, err = lastlook.Read(c.TCPConn, p)
	if n > 0 {
		c.server.count("connections.late")
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.serving.Load() {
		c.end()
	}
	return n, err
}

// startHeaders sets the deadline of the headers when the first bytes of a request have been read.
func (c *conn) startHeaders() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = false
	if !c.reading.Swap(true) {
		_ = c.TCPConn.SetReadDeadline(c.headerDeadline())
	}
}

// headerDeadline returns the deadline of headers that begin now, the zero time if there is none.
func (c *conn) headerDeadline() time.Time {
	if c.headerTimeout <= 0 {
		return time.Time{}
	}
	return time.Now().Add(c.headerTimeout)
}

// startRequest records that a request's headers have been read, perhaps together with the request before.
func (c *conn) startRequest() {
	c.idleSince.Store(nil)
	c.reading.Store(true)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		c.ending = false
		_ = c.TCPConn.SetReadDeadline(time.Time{})
	}
}

// startReadAhead records that the first byte of the next request has been read when the connection became idle.
func (c *conn) startReadAhead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reading.Store(true)
	c.headersBegun = true
}

// extendIdle sets the read deadline to the end of the current idle timeout, which may be longer than when net/http set the deadline.
// It returns false if the connection isn't idle or is being ended, if the timeout has passed, or if there is no IdleTimeout.
func (c *conn) extendIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.extendIdleLocked()
}

func (c *conn) extendIdleLocked() bool {
	since := c.idleSince.Load()
	if since == nil || c.ending || c.server.config.IdleTimeout == nil {
		return false
	}
	deadline := since.Add(c.server.config.IdleTimeout())
	return time.Now().Before(deadline) && c.TCPConn.SetReadDeadline(deadline) == nil
}

// SetReadDeadline sets the read deadline. It does nothing if the connection is being ended or has been. While the connection is idle,
// it applies the current idle timeout, or the header timeout if the first byte of the next request has been read ahead.
func (c *conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending || c.ended.Load() {
		return nil
	}
	// net/http sets a deadline in the past to end a read of its own.
	if t.After(time.Now()) {
		if c.headersBegun {
			c.headersBegun = false
			t = c.headerDeadline()
		}
		if c.extendIdleLocked() {
			return nil
		}
	}
	return c.TCPConn.SetReadDeadline(t)
}

// startEnd makes Read end the connection unless bytes are waiting.
func (c *conn) startEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ending = true
	_ = c.TCPConn.SetReadDeadline(time.Unix(1, 0))
}

// end ends the connection with a response without a request, which promises that no request has run. It does nothing if the
// connection has been ended or a request is being served.
func (c *conn) end() {
	reason, response := c.currentEnd()
	if !c.server.endConn(c, reason) {
		return
	}
	c.sendEnd(response)
}

// sendEnd sends the response that ends the connection, and the end of the stream after it.
func (c *conn) sendEnd(response []byte) {
	c.server.count("connections.ended." + string(c.reason))
	_ = c.SetWriteDeadline(time.Now().Add(closeResponseTimeout))
	_, _ = c.Write(response)
	_ = c.CloseWrite()
}

// currentEnd returns the reason and the response of an end of the connection now.
func (c *conn) currentEnd() (reason endReason, response []byte) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.ending:
		return endStopping, c.server.config.CloseResponse
	case c.reading.Load():
		return endHeaders, c.server.config.TimeoutResponse
	default:
		return endIdle, c.server.config.TimeoutResponse
	}
}

// Close closes the connection; one that has been ended is read until the caller closes it or lingerTime has passed.
func (c *conn) Close() (err error) {
	c.closeOnce.Do(func() {
		if c.ended.Load() {
			go c.linger()
			return
		}
		err = c.TCPConn.Close()
		c.server.removeConn(c.id)
	})
	return err
}

// linger discards what arrives until the caller closes the connection or lingerTime has passed, and closes it.
func (c *conn) linger() {
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
	n, _ := io.Copy(io.Discard, c.TCPConn)
	c.server.recordDropped(c.reason, n+c.dropped.Load())
	_ = c.TCPConn.Close()
	c.server.removeConn(c.id)
}

// listener registers each accepted connection with the Server.
type listener struct {
	*net.TCPListener

	server  *Server
	closing atomic.Bool
}

// Accept waits for the next connection. Once drainBacklog has been called, it returns net.ErrClosed when no connection has arrived for
// backlogTime and none is waiting.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.AcceptTCP()
		if err == nil {
			return l.server.addConn(accepted), nil
		}
		if !l.closing.Load() || !errors.Is(err, os.ErrDeadlineExceeded) {
			return nil, err
		}
		if !lastlook.Ready(l.TCPListener) {
			return nil, net.ErrClosed
		}
		_ = l.SetDeadline(time.Now().Add(backlogTime))
	}
}

// drainBacklog makes Accept return the connections of the backlog until none has arrived for backlogTime, and then fail.
func (l *listener) drainBacklog() {
	l.closing.Store(true)
	_ = l.SetDeadline(time.Now().Add(backlogTime))
}
