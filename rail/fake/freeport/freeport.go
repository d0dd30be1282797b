package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports are below the ephemeral port range, from which operating systems choose the ports of outgoing connections and of
// listeners on port 0.
const (
	firstPort = 10000
	portCount = 20000
	// pidStride is the distance between the first ports that processes with consecutive ids try.
	pidStride = 97
)

// attempts is the number of ports that this process has tried.
var attempts atomic.Uint32

// TCP returns a loopback host and port on which nothing listens for connections.
func TCP() string {
	return find(func(address string) error {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			return err
		}
		return listener.Close()
	})
}

// UDP returns a loopback host and port on which nothing listens for packets.
func UDP() string {
	return find(func(address string) error {
		socket, err := net.ListenPacket("udp", address)
		if err != nil {
			return err
		}
		return socket.Close()
	})
}

// find returns the first address for which tryListen returns no error. Each call tries ports that earlier calls haven't tried.
func find(tryListen func(address string) error) string {
	for {
		port := firstPort + (uint32(os.Getpid())*pidStride+attempts.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if tryListen(address) == nil {
			return address
		}
	}
}
