package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// setTCPUserTimeout makes a TCP connection fail once sent bytes have stayed unacknowledged for tcpUserTimeout. It does
// nothing if the connection is not a TCP connection.
func setTCPUserTimeout(netConn net.Conn) {
	tcp, ok := netConn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// If the option is not supported, the deadlines of the request still apply.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
}

// reusable reports whether an idle connection has not expired, is open and has no data to read.
func reusable(c *conn) bool {
	if time.Now().After(c.idleUntil) || c.reader.Buffered() > 0 {
		return false
	}
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return false
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buffer [1]byte
		_, _, errno := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errno == unix.EAGAIN
		return true
	})
	return err == nil && open
}
