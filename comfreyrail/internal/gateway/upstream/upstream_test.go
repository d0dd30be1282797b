package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"
)

// scriptedServer is a backend server that handles requests with a script and counts its connections and requests.
type scriptedServer struct {
	address  string
	conns    atomic.Int32
	requests atomic.Int32
}

// newScriptedServer starts a server. The script is called with the connection and the number of the request, from 1, after
// each request has been read.
func newScriptedServer(t *testing.T, script func(conn *net.TCPConn, request int)) *scriptedServer {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scriptedServer{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.serveConn(conn.(*net.TCPConn), script)
		}
	}()
	return s
}

func (s *scriptedServer) serveConn(conn *net.TCPConn, script func(conn *net.TCPConn, request int)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		script(conn, int(s.requests.Add(1)))
	}
}

func writeString(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func newClient() *Client { return New(Config{DialTimeout: time.Second}) }

func send(client *Client, address string) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := client.Send(ctx, Request{MaxIdle: 4, Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(response)
	if err != nil {
		response.Discard()
		return string(content), err
	}
	response.Close()
	return string(content), nil
}

// Guards against a request that may have run being reported as not sent, since it would then be sent again.
func TestSendReportsMayHaveBeenSent(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	closedAddress := listener.Addr().String()
	_ = listener.Close()
	reset := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	tests := []struct {
		name, address string
		want          bool
	}{{"connection refused", closedAddress, false}, {"reset after the request", reset.address, true}}
	for _, test := range tests {
		_, err := send(newClient(), test.address)
		var failure *Error
		if !errors.As(err, &failure) || failure.MayHaveBeenSent != test.want {
			t.Errorf("%s: got %v, want sent %v", test.name, err, test.want)
		}
	}
}

// Guards against reuse of a connection that the server closes or that has unread bytes.
func TestSendReusesConnections(t *testing.T) {
	tests := []struct {
		name     string
		response string
		conns    int32
	}{
		{"complete response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"chunked response", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"connection close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"extra response", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", 3},
		{"idle timeout too short", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn *net.TCPConn, _ int) { writeString(conn, test.response) })
			client := newClient()
			for range 3 {
				if body, err := send(client, server.address); err != nil || body != "ok" {
					t.Fatalf("got %q, %v, want ok", body, err)
				}
			}
			if got := server.conns.Load(); got != test.conns {
				t.Errorf("got %d connections, want %d", got, test.conns)
			}
		})
	}
}

// Idle connections above MaxIdle must be closed, so that the server has connections left for other instances.
func TestMaxIdle(t *testing.T) {
	server := newScriptedServer(t, func(conn *net.TCPConn, _ int) { writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	for _, maxIdle := range []int{0, 2} {
		client := newClient()
		var responses []*Response
		for range 4 {
			response, err := client.Send(context.Background(), Request{
				Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: maxIdle,
			})
			if err != nil {
				t.Fatal(err)
			}
			if _, err = io.Copy(io.Discard, response); err != nil {
				t.Fatal(err)
			}
			responses = append(responses, response)
		}
		for _, response := range responses {
			response.Close()
		}
		if got := len(client.idle[server.address]); got != maxIdle {
			t.Errorf("got %d idle connections, want %d", got, maxIdle)
		}
	}
}

// Guards against a late response on an idle connection being taken for the response to the next request.
func TestSendDiscardsLateResponse(t *testing.T) {
	written := make(chan struct{})
	server := newScriptedServer(t, func(conn *net.TCPConn, request int) {
		writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if request == 1 {
			writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			close(written)
		}
	})
	client := newClient()
	if _, err := send(client, server.address); err != nil {
		t.Fatal(err)
	}
	<-written
	if body, err := send(client, server.address); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want the response to the second request", body, err)
	}
}

// Guards against a truncated response being passed on as a complete one.
func TestTruncatedBodies(t *testing.T) {
	tests := []struct {
		name     string
		response string
		reset    bool
	}{
		{"shorter than Content-Length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"missing last chunk", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"reset without Content-Length", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
				writeString(conn, test.response)
				if test.reset {
					time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			})
			if body, err := send(newClient(), server.address); err == nil {
				t.Errorf("got %q as a complete response, want an error", body)
			}
		})
	}
}

// Guards against a request failing while OnReadTimeout prolongs the wait, and against one that still waits after
// OnReadTimeout has returned zero or whose error reports it as not sent.
func TestOnReadTimeout(t *testing.T) {
	release := make(chan struct{})
	server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
		<-release
		writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	timeouts := 0
	response, err := newClient().Send(context.Background(), Request{
		Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		ReadTimeout: 10 * time.Millisecond,
		OnReadTimeout: func() time.Duration {
			timeouts++
			if timeouts == 3 {
				close(release)
			}
			return 10 * time.Millisecond
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	response.Discard()
	if timeouts < 3 {
		t.Errorf("got %d calls of OnReadTimeout, want at least 3", timeouts)
	}
	unresponsive := newScriptedServer(t, func(*net.TCPConn, int) { time.Sleep(time.Second) })
	_, err = newClient().Send(context.Background(), Request{
		Address: unresponsive.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		ReadTimeout:   10 * time.Millisecond,
		OnReadTimeout: func() time.Duration { return 0 },
	})
	var failure *Error
	if !errors.As(err, &failure) || !failure.MayHaveBeenSent {
		t.Errorf("got %v, want a failure after the request was sent", err)
	}
}

// Guards against Send waiting for a response after its context was canceled.
func TestContextCancelsSend(t *testing.T) {
	server := newScriptedServer(t, func(*net.TCPConn, int) { time.Sleep(2 * time.Second) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newClient().Send(ctx, Request{MaxIdle: 4, Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		t.Error("got a response, want an error after the context is canceled")
	}
}
