package peer

import (
	"context"
	"syscall"
	"testing"

	"github.com/comfreyrail/comfreyrail/rail/member"
)

// payload is a message that, with payloadBytes bytes, has about the size of a heartbeat without updates.
type payload struct {
	Bytes []byte `cbor:"1,keyasint"`
}

const payloadBytes = 130

// BenchmarkCall measures one call between two instances over loopback: the time, the processor time of both ends and the bytes
// on the network.
func BenchmarkCall(b *testing.B) {
	client, server := newPair(b, map[Kind]Handler{"echo": echo})
	message := payload{Bytes: make([]byte, payloadBytes)}
	call := func() {
		var resp payload
		if err := client.Call(b.Context(), server, "echo", message, &resp); err != nil {
			b.Fatal(err)
		}
	}
	call()
	before, used := transferredBytes(client), processorTime(b)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N)/1000, "cpu-us/op")
	b.ReportMetric(float64(transferredBytes(client)-before)/float64(b.N), "wire-B/op")
}

// BenchmarkConnect measures opening a connection and making the first call on it.
func BenchmarkConnect(b *testing.B) {
	client, server := newPair(b, map[Kind]Handler{"echo": echo})
	message := payload{Bytes: make([]byte, payloadBytes)}
	used := processorTime(b)
	for b.Loop() {
		var resp payload
		if err := client.Call(b.Context(), server, "echo", message, &resp); err != nil {
			b.Fatal(err)
		}
		for _, connection := range client.outgoing {
			_ = connection.CloseWithError(closeNormal, "")
		}
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N)/1000, "cpu-us/op")
}

// echo returns the payload that it received.
func echo(_ context.Context, _ member.Member, body []byte) (any, error) {
	var received payload
	err := Decode(body, &received)
	return received, err
}

// transferredBytes returns the number of bytes sent and received on the connections of the client.
func transferredBytes(t *Transport) (sum uint64) {
	for _, connection := range t.outgoing {
		stats := connection.ConnectionStats()
		sum += stats.BytesSent + stats.BytesReceived
	}
	return sum
}

// processorTime returns the user and system time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
