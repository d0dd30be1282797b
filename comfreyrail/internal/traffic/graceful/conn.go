package graceful

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// Times of ending a connection.
const (
	// farewellTimeout is the longest time to send the answer that ends a connection.
	farewellTimeout = time.Second
	// lingerTime is the time for which an ended connection reads on, so that no reset overtakes the answer.
	lingerTime = 2 * time.Second
	// backlogTime is the time in which the connections that wait at the listener are taken before it closes.
	backlogTime = 50 * time.Millisecond
)

// conn is one connection of a caller.
type conn struct {
	*net.TCPConn

	id     uint64
	server *Server
	once   sync.Once
	over   atomic.Bool
	// ahead tells that net/http has read the first byte of the next request while it served the one before.
	ahead atomic.Bool
}

// Read reads unless the connection has been ended; bytes that arrive after the end are dropped.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.TCPConn.Read(p)
	if n == 0 {
		return n, err
	}
	if !c.server.arrive(c.id) {
		return 0, io.EOF
	}
	// net/http reads one byte ahead in the background while it serves a request, and never reads one byte otherwise.
	c.ahead.Store(len(p) == 1)
	return n, err
}

// SetReadDeadline sets the time at which reading ends, unless the connection has been ended.
func (c *conn) SetReadDeadline(t time.Time) error {
	if c.over.Load() {
		return nil
	}
	return c.TCPConn.SetReadDeadline(t)
}

// end sends the answer that nobody asked for on a connection that is over.
func (c *conn) end(farewell []byte) {
	_ = c.SetWriteDeadline(time.Now().Add(farewellTimeout))
	_, _ = c.Write(farewell)
	_ = c.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(time.Now().Add(lingerTime))
}

// Close closes the connection; one that has been ended reads on until the caller has closed it too.
func (c *conn) Close() (err error) {
	c.once.Do(func() {
		if c.over.Load() {
			go c.linger()
			return
		}
		err = c.TCPConn.Close()
		c.server.closed(c.id)
	})
	return err
}

func (c *conn) linger() {
	_, _ = io.Copy(io.Discard, c.TCPConn)
	_ = c.TCPConn.Close()
	c.server.closed(c.id)
}

// listener gives each connection to the Server.
type listener struct {
	*net.TCPListener

	server  *Server
	closing atomic.Bool
}

// Accept waits for the next connection.
func (l *listener) Accept() (net.Conn, error) {
	accepted, err := l.AcceptTCP()
	if err == nil {
		return l.server.opened(accepted), nil
	}
	var timeout net.Error
	if l.closing.Load() && errors.As(err, &timeout) && timeout.Timeout() {
		return nil, net.ErrClosed
	}
	return nil, err
}

// finish makes Accept take the connections that wait, and then fail.
func (l *listener) finish() {
	l.closing.Store(true)
	_ = l.SetDeadline(time.Now().Add(backlogTime))
}
