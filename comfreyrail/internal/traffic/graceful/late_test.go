package graceful

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/lastlook"
	"github.com/comfreyrail/comfreyrail/rail/stop"
)

const (
	testRequest         = "GET / HTTP/1.1\r\nHost: test\r\n\r\n"
	testTimeoutResponse = "HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 8\r\n\r\ntoo late"
)

// newServer returns a Server that does not listen.
func newServer() *Server {
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	return New(Config{
		Stop: stop.Config{BalancerLag: time.Millisecond, IdleTimeout: time.Millisecond, Timeout: time.Minute}, Log: logrus.NewEntry(logger),
		CloseResponse: []byte(testCloseResponse), TimeoutResponse: []byte(testTimeoutResponse),
	})
}

// pair returns both ends of a connection, that of the server registered with it.
func pair(t *testing.T, server *Server) (c *conn, caller net.Conn) {
	t.Helper()
	netListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = netListener.Close() }()
	if caller, err = net.Dial("tcp", netListener.Addr().String()); err != nil {
		t.Fatal(err)
	}
	accepted, err := netListener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		_ = caller.Close()
		_ = accepted.Close()
	})
	return server.addConn(accepted.(*net.TCPConn)), caller
}

// write writes to the connection and waits until the other end of it, c, has the bytes in its buffer.
func write(t *testing.T, caller net.Conn, c *conn, text string) {
	t.Helper()
	if _, err := io.WriteString(caller, text); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(10 * time.Second); !lastlook.Ready(c.TCPConn); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the bytes do not arrive")
		}
	}
}

// Guards against a request that gets neither a response nor a refusal: its bytes are in the buffer of the socket when the idle or
// header timeout is handled, as after a time in which the process was held up.
func TestDeadlineDoesNotLoseWaitingBytes(t *testing.T) {
	tests := []struct {
		name    string
		prepare func(t *testing.T, server *Server, c *conn, caller net.Conn)
	}{
		{"new connection", func(*testing.T, *Server, *conn, net.Conn) {}},
		{"idle connection", func(_ *testing.T, server *Server, c *conn, _ net.Conn) {
			server.startRead(c.id)
			server.startRequest(c.id, "first")
			server.setIdle(c)
		}},
		{"second part of the headers", func(t *testing.T, _ *Server, c *conn, caller net.Conn) {
			write(t, caller, c, "GET /")
			if _, err := c.Read(make([]byte, 100)); err != nil {
				t.Fatal(err)
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newServer()
			c, caller := pair(t, server)
			test.prepare(t, server, c, caller)
			write(t, caller, c, testRequest)
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(-time.Millisecond))
			p := make([]byte, 100)
			n, err := c.Read(p)
			if got := string(p[:n]); got != testRequest || err != nil {
				t.Errorf("got %q and error %v, want the request that was waiting", got, err)
			}
		})
	}
}

// Guards against a request that is lost because it arrives while the idle timeout is handled.
func TestRequestWaitingAtIdleTimeoutIsServed(t *testing.T) {
	const timeout = 100 * time.Millisecond
	calls, expired, sent := 0, make(chan struct{}), make(chan struct{})
	conn := dialIdle(t, time.Minute, func() time.Duration {
		// The first call sets the deadline, the second one follows it.
		if calls++; calls == 2 {
			close(expired)
			<-sent
		}
		return timeout
	})
	if err := exchange(t, conn); err != nil {
		t.Fatal(err)
	}
	<-expired
	if _, err := io.WriteString(conn, testRequest); err != nil {
		t.Fatal(err)
	}
	close(sent)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want a response to the request that was waiting", err)
	}
	_ = response.Body.Close()
}

// Guards against a request that was waiting when a stop ended its connection, and got no response or was refused.
func TestStopServesWaitingRequest(t *testing.T) {
	server := newServer()
	c, caller := pair(t, server)
	write(t, caller, c, testRequest)
	server.Stop()
	time.Sleep(10 * time.Millisecond)
	server.dueActions()
	p := make([]byte, 100)
	n, err := c.Read(p)
	if got := string(p[:n]); got != testRequest || err != nil {
		t.Errorf("got %q and error %v, want the request that was waiting", got, err)
	}
}

// Guards against a reset in place of the response that ends a connection: the idle or header timeout passes just before the stop ends
// the connection, or there is no stop, and a request crosses the end.
func TestRequestCrossingEndIsAnswered(t *testing.T) {
	tests := []struct {
		name  string
		begin string // what the caller has sent before the end
		stop  bool
	}{
		{"new connection", "", false},
		{"header timeout", "GET / HTTP/1.1\r\nHost:", false},
		{"stop", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newServer()
			c, caller := pair(t, server)
			if test.begin != "" {
				write(t, caller, c, test.begin)
				if _, err := c.Read(make([]byte, 100)); err != nil {
					t.Fatal(err)
				}
			}
			if test.stop {
				server.Stop()
				time.Sleep(10 * time.Millisecond)
				server.dueActions()
			}
			_ = c.TCPConn.SetReadDeadline(time.Now().Add(-time.Millisecond))
			if n, err := c.Read(make([]byte, 100)); n > 0 || err == nil {
				t.Fatalf("got %d bytes and error %v, want an error", n, err)
			}
			_ = c.Close()
			time.Sleep(20 * time.Millisecond)
			if _, err := io.WriteString(caller, testRequest); err != nil {
				t.Fatal(err)
			}
			time.Sleep(20 * time.Millisecond)
			response, err := http.ReadResponse(bufio.NewReader(caller), nil)
			if err != nil {
				t.Fatalf("got %v, want a response", err)
			}
			defer func() { _ = response.Body.Close() }()
			if got, want := response.StatusCode, http.StatusRequestTimeout; got != want || !response.Close {
				t.Errorf("got status %d and close %v, want %d and true", got, response.Close, want)
			}
		})
	}
}

// Guards against a request that is cut because its first bytes arrive just before the end of the idle timeout, the others after it.
func TestFirstBytesEndIdleTimeout(t *testing.T) {
	const timeout = 900 * time.Millisecond
	conn := dialIdle(t, timeout, func() time.Duration { return timeout })
	if err := exchange(t, conn); err != nil {
		t.Fatal(err)
	}
	time.Sleep(timeout * 2 / 3)
	if _, err := io.WriteString(conn, testRequest[:1]); err != nil {
		t.Fatal(err)
	}
	time.Sleep(timeout * 2 / 3)
	_, _ = io.WriteString(conn, testRequest[1:])
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	_ = response.Body.Close()
}

// Guards against an exit of the process that closes idle connections without a response because nothing reads from them any more.
func TestExitAnswersIdleConnections(t *testing.T) {
	server := newServer()
	_, caller := pair(t, server)
	server.Stop()
	server.Stop()
	if ended := server.step(t.Context(), new(listener)); !ended {
		t.Fatal("got no exit after the second call of Stop")
	}
	_ = caller.SetReadDeadline(time.Now().Add(5 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(caller), nil)
	if err != nil {
		t.Fatalf("got %v, want a response", err)
	}
	defer func() { _ = response.Body.Close() }()
	if got, want := response.StatusCode, http.StatusRequestTimeout; got != want {
		t.Errorf("got status %d, want %d", got, want)
	}
}

// Guards against a pipelined request whose connection keeps a passed deadline, so that its caller counts as gone: the shutdown had started to
// end the connection while the request, read together with the one before, began.
func TestStopWhilePipelinedRequestBegins(t *testing.T) {
	server := newServer()
	c, _ := pair(t, server)
	server.startRead(c.id)
	server.startRequest(c.id, "first")
	server.setIdle(c)
	server.Stop()
	time.Sleep(5 * time.Millisecond) // past the balancer's lag and the idle timeout of newServer
	server.dueActions()              // starts to end the connection
	server.handleConnState(c, http.StateActive)
	server.dueActions()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ending {
		t.Error("got a request on a connection that is being ended, want the end called off")
	}
}
