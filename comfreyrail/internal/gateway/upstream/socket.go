package upstream

import (
	"net"
	"time"

	"golang.org/x/sys/unix"
)

// limitUnacknowledged makes the connection fail once bytes have stayed unacknowledged for too long.
func limitUnacknowledged(opened net.Conn) {
	tcp, ok := opened.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	// Where the option is missing, the deadlines of the request still hold.
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledgedTime.Milliseconds()))
	})
}

// sound reports whether an idle connection is open and has nothing to read.
func sound(c *conn) bool {
	if time.Now().After(c.until) || c.reader.Buffered() > 0 {
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
		_, _, received := unix.Recvfrom(int(fd), buffer[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = received == unix.EAGAIN
		return true
	})
	return err == nil && open
}
