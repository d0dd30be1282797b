package graceful

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
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
	// lastAcceptTime is the time without a connection after which the listener closes once backlogTime has passed.
	lastAcceptTime = time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	*net.TCPConn

	id        uint64
	server    *Server
	closeOnce sync.Once
	// ended is true once the graceful shutdown ends the connection because it is idle.
	ended atomic.Bool
	// readAhead is true if net/http has read the first byte of the next request while it served the one before.
	readAhead atomic.Bool
	// dropped is the number of bytes that net/http has read and Read has discarded after the connection has been ended.
	dropped atomic.Int64
	// idleSince is the time since which the connection is idle between two requests, nil while it is not.
	idleSince atomic.Pointer[time.Time]
}

// Read reads from the connection; once the connection has been ended, it discards the bytes that arrive and returns io.EOF.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	for n == 0 && errors.Is(err, os.ErrDeadlineExceeded) && c.extendIdle() {
		n, err = c.TCPConn.Read(p)
	}
	if n == 0 {
		return n, err
	}
	c.idleSince.Store(nil)
	if !c.server.startRead(c.id) {
		c.dropped.Add(int64(n))
		return 0, io.EOF
	}
	// net/http reads a single byte in the background while it serves a request, and at no other time.
	c.readAhead.Store(len(p) == 1)
	return n, err
}

// extendIdle sets the read deadline to the end of the current idle timeout, which may be longer than when net/http set the deadline.
// It returns false if the connection isn't idle or has been ended, if the timeout has passed, or if there is no IdleTimeout.
func (c *conn) extendIdle() bool {
	since := c.idleSince.Load()
	if since == nil || c.ended.Load() || c.server.config.IdleTimeout == nil {
		return false
	}
	deadline := since.Add(c.server.config.IdleTimeout())
	return time.Now().Before(deadline) && c.TCPConn.SetReadDeadline(deadline) == nil
}

// SetReadDeadline sets the read deadline. It does nothing if the connection has been ended, so that net/http doesn't
// replace the deadline that sendCloseResponse sets. While the connection is idle, it applies the current idle timeout.
func (c *conn) SetReadDeadline(t time.Time) error {
	// net/http sets a deadline in the past to end a read of its own.
	if c.ended.Load() || t.After(time.Now()) && c.extendIdle() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// sendCloseResponse sends a response without a request on an idle connection that is being ended.
func (c *conn) sendCloseResponse(response []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(closeResponseTimeout))
	_, _ = c.Write(response)
	_ = c.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
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

// linger discards what arrives until the caller closes the connection or the read deadline passes, and closes it.
func (c *conn) linger() {
	n, _ := io.Copy(io.Discard, c.TCPConn)
	c.server.recordDropped(n + c.dropped.Load())
	_ = c.TCPConn.Close()
	c.server.removeConn(c.id)
}

// listener registers each accepted connection with the Server.
type listener struct {
	*net.TCPListener

	server  *Server
	closing atomic.Bool
}

// Accept waits for the next connection; it returns net.ErrClosed once backlogTime has passed since drainBacklog was
// called and no connection waits.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if l.closing.Load() && isTimeout(err) {
		// The deadline may have passed while the process was held up and connections arrived.
		_ = l.SetDeadline(time.Now().Add(lastAcceptTime))
		accepted, err = l.AcceptTCP()
	}
	if err == nil {
		return l.server.addConn(accepted), nil
	}
	if l.closing.Load() && isTimeout(err) {
		return nil, net.ErrClosed
	}
	return nil, err
}

// isTimeout reports whether err is a timeout.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}

// drainBacklog makes Accept return the connections of the backlog for backlogTime and those that wait then, and then fail.
func (l *listener) drainBacklog() {
	l.closing.Store(true)
	_ = l.SetDeadline(time.Now().Add(backlogTime))
}
