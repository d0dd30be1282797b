package graceful

import (
	"io"
	"os"
	"syscall"

	"golang.org/x/sys/unix"
)

// readable reports whether a socket has data or connections waiting, its end, or an error.
func readable(socket syscall.Conn) bool {
	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}
	waiting := 0
	err = raw.Control(func(fd uintptr) {
		waiting, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && waiting > 0
}

// readWaiting reads the bytes that are waiting at a socket, whether or not its read deadline has passed. It returns
// os.ErrDeadlineExceeded if there are none, and io.EOF at the end.
func readWaiting(socket syscall.Conn, p []byte) (n int, err error) {
	raw, err := socket.SyscallConn()
	if err != nil {
		return 0, err
	}
	var readErr error
	if err = raw.Control(func(fd uintptr) { n, readErr = unix.Read(int(fd), p) }); err != nil {
		return 0, err
	}
	switch {
	case readErr == unix.EAGAIN || readErr == unix.EINTR: //nolint:errorlint // unix.Read returns an Errno
		return 0, os.ErrDeadlineExceeded
	case readErr != nil:
		return 0, os.NewSyscallError("read", readErr)
	case n == 0:
		return 0, io.EOF
	default:
		return n, nil
	}
}
