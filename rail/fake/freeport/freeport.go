package freeport

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
)

// The ports lie below the range from which systems give ports to outgoing connections.
const (
	firstPort = 10000
	portCount = 20000
	// stride separates the first tries of processes with consecutive ids.
	stride = 97
)

var tried atomic.Uint32

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

// find returns the first address that the probe accepts, a different one at each call.
func find(probe func(address string) error) string {
	for {
		port := firstPort + (uint32(os.Getpid())*stride+tried.Add(1))%portCount
		address := fmt.Sprintf("127.0.0.1:%d", port)
		if probe(address) == nil {
			return address
		}
	}
}
