package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/lastlook"
)

// waitForBytes waits until bytes have arrived at the socket of a connection.
func waitForBytes(t *testing.T, conn net.Conn) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); !lastlook.Ready(conn.(*net.TCPConn)); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("no bytes have arrived")
		}
	}
}

// sendForBody sends a request to a server that writes the head of a response, and the body once the returned function is called.
func sendForBody(ctx context.Context, t *testing.T, body string) (response *Response, writeBody func()) {
	t.Helper()
	release := make(chan struct{})
	server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
		writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n")
		<-release
		writeString(conn, body)
	})
	response, err := newClient().Send(ctx, Request{MaxIdle: 4, Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(response.Discard)
	return response, func() { close(release) }
}

// Guards against a server being taken for silent although its bytes arrived while this process did not run.
func TestBytesThatWaitAtReadTimeout(t *testing.T) {
	response, writeBody := sendForBody(context.Background(), t, "ok")
	writeBody()
	waitForBytes(t, response.conn.Conn)
	response.SetOnReadTimeout(func() time.Duration {
		t.Error("OnReadTimeout was called although bytes had arrived")
		return time.Second
	})
	response.SetReadDeadline(time.Unix(1, 0))
	if body, err := io.ReadAll(response); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}
}

// Guards against the loss of a response that has arrived whole when the request's deadline is handled.
func TestResponseThatWaitsAtDeadline(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	response, writeBody := sendForBody(ctx, t, "ok")
	writeBody()
	waitForBytes(t, response.conn.Conn)
	<-ctx.Done()
	time.Sleep(10 * time.Millisecond) // lets the deadline be set on the connection
	if body, err := io.ReadAll(response); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}
}

// Guards against the loss of a response whose head has arrived when the request's deadline is handled.
func TestHeadThatWaitsAtDeadline(t *testing.T) {
	atTimeout, written := make(chan struct{}), make(chan struct{})
	server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
		<-atTimeout
		writeString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		close(written)
	})
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	response, err := newClient().Send(ctx, Request{
		Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		OnReadTimeout: func() time.Duration { // the head is read after the deadline
			close(atTimeout)
			<-written
			<-ctx.Done()
			return time.Second
		},
	})
	if err != nil {
		t.Fatalf("got %v, want the response", err)
	}
	defer response.Discard()
	if body, err := io.ReadAll(response); err != nil || string(body) != "ok" {
		t.Errorf("got %q, %v, want ok", body, err)
	}
}

// Guards against a server that sends without end being read for ever after the deadline.
func TestReadingAfterDeadlineEnds(t *testing.T) {
	server := newScriptedServer(t, func(conn *net.TCPConn, _ int) {
		writeString(conn, "HTTP/1.1 200 OK\r\n\r\n")
		for block := strings.Repeat("x", 64<<10); ; {
			if _, err := io.WriteString(conn, block); err != nil {
				return
			}
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	response, err := newClient().Send(ctx, Request{Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}})
	if err != nil {
		t.Fatal(err)
	}
	defer response.Discard()
	done := make(chan error, 1)
	go func() {
		_, err := io.Copy(io.Discard, response)
		done <- err
	}()
	select {
	case err = <-done:
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("got %v, want %v", err, os.ErrDeadlineExceeded)
		}
	case <-time.After(5 * time.Second):
		t.Error("got a read that goes on after the deadline, want an end")
	}
}

// Guards against a request that goes on after its deadline because a read timeout was handled at the same time.
func TestReadTimeoutAtDeadline(t *testing.T) {
	server := newScriptedServer(t, func(*net.TCPConn, int) { time.Sleep(10 * time.Second) })
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	startedAt := time.Now()
	_, err := newClient().Send(ctx, Request{
		Address: server.address, Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{},
		OnReadTimeout: func() time.Duration {
			<-ctx.Done()
			time.Sleep(10 * time.Millisecond) // lets the deadline be set on the connection
			return 5 * time.Second
		},
	})
	if took := time.Since(startedAt); err == nil || took > 2*time.Second {
		t.Errorf("got %v after %v, want an error soon after the deadline", err, took)
	}
}
