package lastlook

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// connect returns the two sides of a TCP connection.
func connect(t *testing.T) (local, remote *net.TCPConn) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = listener.Close() }()
	dialed, err := net.Dial("tcp", listener.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	accepted, err := listener.Accept()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _, _ = dialed.Close(), accepted.Close() })
	return dialed.(*net.TCPConn), accepted.(*net.TCPConn)
}

// readSoon calls Read until it returns something other than os.ErrDeadlineExceeded, for a second at most.
func readSoon(conn net.Conn, b []byte) (n int, err error) {
	for end := time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if n, err = Read(conn, b); !errors.Is(err, os.ErrDeadlineExceeded) {
			break
		}
	}
	return n, err
}

// Guards against bytes and ends of connections that arrived before the deadline being missed once it has passed.
func TestReadAfterDeadline(t *testing.T) {
	tests := []struct {
		name string
		act  func(remote *net.TCPConn)
		want string
		err  error
	}{
		{"nothing", func(*net.TCPConn) {}, "", os.ErrDeadlineExceeded},
		{"bytes", func(remote *net.TCPConn) { _, _ = io.WriteString(remote, "ok") }, "ok", nil},
		{"end", func(remote *net.TCPConn) { _ = remote.CloseWrite() }, "", io.EOF},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			local, remote := connect(t)
			_ = local.SetReadDeadline(time.Unix(1, 0))
			test.act(remote)
			buffer := make([]byte, 8)
			n, err := readSoon(local, buffer)
			if got := string(buffer[:n]); got != test.want || !errors.Is(err, test.err) {
				t.Errorf("got %q, %v, want %q, %v", got, err, test.want, test.err)
			}
		})
	}
}

// Guards against a connection that has failed, or that has no socket, being taken for one that waits.
func TestReadWithoutSocket(t *testing.T) {
	local, _ := connect(t)
	_ = local.Close()
	if _, err := Read(local, make([]byte, 1)); !errors.Is(err, net.ErrClosed) {
		t.Errorf("got %v, want %v", err, net.ErrClosed)
	}
	piped, _ := net.Pipe()
	if _, err := Read(piped, make([]byte, 1)); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("got %v, want %v", err, os.ErrDeadlineExceeded)
	}
}
