package lastlook

import (
	"io"
	"net"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// Read reads what has already arrived at the socket of a connection and does not wait. It returns os.ErrDeadlineExceeded if nothing
// has arrived or the connection has no socket, io.EOF if the other side has closed the connection, and another error if the
// connection has failed.
func Read(conn net.Conn, b []byte) (n int, err error) {
	socket, ok := conn.(syscall.Conn)
	if !ok || len(b) == 0 {
		return 0, os.ErrDeadlineExceeded
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	// Unlike Read, Control is not subject to the deadline.
	if err = raw.Control(func(fd uintptr) { n, readErr = receive(int(fd), b) }); err != nil {
		return 0, err
	}
	return n, readErr
}

// receive reads from a socket without waiting. It returns the errors of Read.
func receive(fd int, b []byte) (n int, err error) {
	for {
		n, _, err = unix.Recvfrom(fd, b, unix.MSG_DONTWAIT)
		switch {
		case err == nil && n == 0:
			return 0, io.EOF
		case err == nil:
			return n, nil
		case err == unix.EAGAIN:
			return 0, os.ErrDeadlineExceeded
		case err != unix.EINTR:
			return 0, os.NewSyscallError("recvfrom", err)
		}
	}
}
