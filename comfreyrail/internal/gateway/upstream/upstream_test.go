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

// scripted is a backend server that answers each request with the next of its scripts.
type scripted struct {
	address string
	conns   atomic.Int32
	served  atomic.Int32
}

// serve starts a server; a script gets the connection once a request has been read.
func serve(t *testing.T, script func(conn *net.TCPConn, request int)) *scripted {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	s := &scripted{address: listener.Addr().String()}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			s.conns.Add(1)
			go s.answer(conn.(*net.TCPConn), script)
		}
	}()
	return s
}

func (s *scripted) answer(conn *net.TCPConn, script func(conn *net.TCPConn, request int)) {
	defer func() { _ = conn.Close() }()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		script(conn, int(s.served.Add(1)))
	}
}

func write(conn net.Conn, text string) { _, _ = io.WriteString(conn, text) }

func newPool() *Pool { return New(Config{DialTimeout: time.Second}) }

func get(pool *Pool, address string) (body string, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	answer, err := pool.Send(ctx, Request{MaxIdle: 4, Address: address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		return "", err
	}
	content, err := io.ReadAll(answer)
	if err != nil {
		answer.Discard()
		return string(content), err
	}
	answer.Close()
	return string(content), nil
}

func TestSendTellsWhetherAnythingLeft(t *testing.T) {
	closed, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	nobody := closed.Addr().String()
	_ = closed.Close()
	reset := serve(t, func(conn *net.TCPConn, _ int) {
		_ = conn.SetLinger(0)
		_ = conn.Close()
	})
	tests := []struct {
		name, address string
		want          bool
	}{{"nobody listens", nobody, false}, {"reset after the request", reset.address, true}}
	for _, test := range tests {
		_, err := get(newPool(), test.address)
		var failure *Error
		if !errors.As(err, &failure) || failure.Sent != test.want {
			t.Errorf("%s: got %v, want sent %v", test.name, err, test.want)
		}
	}
}

func TestSendKeepsSoundConnections(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		conns  int32
	}{
		{"a whole answer", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", 1},
		{"one in chunks", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n", 1},
		{"one that asks to close", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", 3},
		{"one that an extra answer follows", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad", 3},
		{"one whose connection may not be idle", "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok", 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn *net.TCPConn, _ int) { write(conn, test.answer) })
			pool := newPool()
			for range 3 {
				if body, err := get(pool, server.address); err != nil || body != "ok" {
					t.Fatalf("got %q, %v, want ok", body, err)
				}
			}
			if got := server.conns.Load(); got != test.conns {
				t.Errorf("got %d connections, want %d", got, test.conns)
			}
		})
	}
}

// An answer that comes late on an idle connection belongs to nobody.
// Idle connections beyond the number that may be kept are closed, so that the server has room for those of other instances.
func TestKeepBoundsIdleConnections(t *testing.T) {
	server := serve(t, func(conn *net.TCPConn, _ int) { write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n") })
	for _, keep := range []int{0, 2} {
		pool := newPool()
		var answers []*Response
		for range 4 {
			answer, err := pool.Send(context.Background(), Request{
				Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, MaxIdle: keep,
			})
			if err != nil {
				t.Fatal(err)
			}
			if _, err = io.Copy(io.Discard, answer); err != nil {
				t.Fatal(err)
			}
			answers = append(answers, answer)
		}
		for _, answer := range answers {
			answer.Close()
		}
		if got := len(pool.idle[server.address]); got != keep {
			t.Errorf("got %d idle connections, want %d", got, keep)
		}
	}
}

func TestSendDropsConnectionsWithLateBytes(t *testing.T) {
	late := make(chan struct{})
	server := serve(t, func(conn *net.TCPConn, request int) {
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		if request == 1 {
			write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nbad")
			close(late)
		}
	})
	pool := newPool()
	if _, err := get(pool, server.address); err != nil {
		t.Fatal(err)
	}
	<-late
	if body, err := get(pool, server.address); err != nil || body != "ok" {
		t.Errorf("got %q, %v, want the answer to the second request", body, err)
	}
}

func TestBodiesThatAreNotWhole(t *testing.T) {
	tests := []struct {
		name   string
		answer string
		reset  bool
	}{
		{"shorter than its length", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", false},
		{"chunks without an end", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", false},
		{"without a length, ended by a reset", "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			server := serve(t, func(conn *net.TCPConn, _ int) {
				write(conn, test.answer)
				if test.reset {
					time.Sleep(20 * time.Millisecond) // lets the bytes arrive before the reset
					_ = conn.SetLinger(0)
				}
				_ = conn.Close()
			})
			if body, err := get(newPool(), server.address); err == nil {
				t.Errorf("got %q as a whole answer, want an error", body)
			}
		})
	}
}

func TestOnTimeoutDecidesHowLongToWait(t *testing.T) {
	release := make(chan struct{})
	server := serve(t, func(conn *net.TCPConn, _ int) {
		<-release
		write(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	})
	asked := 0
	answer, err := newPool().Send(context.Background(), Request{
		Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Timeout: 10 * time.Millisecond,
		OnTimeout: func() time.Duration {
			asked++
			if asked == 3 {
				close(release)
			}
			return 10 * time.Millisecond
		},
	})
	if err != nil {
		t.Fatal(err)
	}
	answer.Discard()
	if asked < 3 {
		t.Errorf("got asked %d times, want 3 at least", asked)
	}
	hung := serve(t, func(*net.TCPConn, int) { time.Sleep(time.Second) })
	_, err = newPool().Send(context.Background(), Request{
		Address: hung.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, Timeout: 10 * time.Millisecond,
		OnTimeout: func() time.Duration { return 0 },
	})
	var failure *Error
	if !errors.As(err, &failure) || !failure.Sent {
		t.Errorf("got %v, want a failure after the request was sent", err)
	}
}

func TestTheContextEndsAWait(t *testing.T) {
	hung := serve(t, func(*net.TCPConn, int) { time.Sleep(2 * time.Second) })
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := newPool().Send(ctx, Request{MaxIdle: 4, Address: hung.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err == nil {
		t.Error("got an answer, want the end of the context to end the wait")
	}
}
