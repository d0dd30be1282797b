package lastlook

import (
	"syscall"

	"golang.org/x/sys/unix"
)

// Ready reports whether bytes or connections, the end of a connection or an error wait at a socket.
func Ready(socket syscall.Conn) bool {
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
