package peer

import (
	"context"
	"io"
	"syscall"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/fake/freeport"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// payload is about the size of a heartbeat without news.
type payload struct {
	Bytes []byte `cbor:"1,keyasint"`
}

const payloadBytes = 130

// BenchmarkCall measures one exchange between two instances over loopback: time, processor time of both, and bytes.
func BenchmarkCall(b *testing.B) {
	client, server := newPair(b)
	message := payload{Bytes: make([]byte, payloadBytes)}
	call := func() {
		var answer payload
		if err := client.Call(b.Context(), server, "echo", message, &answer); err != nil {
			b.Fatal(err)
		}
	}
	call()
	before, used := sentBytes(client), processorTime(b)
	for b.Loop() {
		call()
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N)/1000, "cpu-us/op")
	b.ReportMetric(float64(sentBytes(client)-before)/float64(b.N), "wire-B/op")
}

// BenchmarkConnect measures a new connection with its first exchange.
func BenchmarkConnect(b *testing.B) {
	client, server := newPair(b)
	message := payload{Bytes: make([]byte, payloadBytes)}
	used := processorTime(b)
	for b.Loop() {
		var answer payload
		if err := client.Call(b.Context(), server, "echo", message, &answer); err != nil {
			b.Fatal(err)
		}
		for _, connection := range client.connections {
			_ = connection.CloseWithError(closeNormal, "")
		}
	}
	b.ReportMetric(float64(processorTime(b)-used)/float64(b.N)/1000, "cpu-us/op")
}

// newPair returns a client and the record of a server that answers with what it gets.
func newPair(b *testing.B) (*Transport, member.Member) {
	b.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	identities := make([]Identity, 2)
	for i, name := range []string{"client", "server"} {
		identity, err := NewIdentity(name, "")
		if err != nil {
			b.Fatal(err)
		}
		identities[i] = identity
	}
	address := freeport.UDP()
	server := New(Config{
		Listen: address, Identity: identities[1], Log: logrus.NewEntry(logger),
		Resolve: func(context.Context, string, string) (member.Member, error) {
			return member.Member{Name: "client", Epoch: 1}, nil
		},
	})
	server.Handle("echo", func(_ context.Context, _ member.Member, body []byte) (any, error) {
		var received payload
		err := Decode(body, &received)
		return received, err
	})
	go func() { _ = server.Serve(b.Context()) }()
	time.Sleep(100 * time.Millisecond)
	client := New(Config{Identity: identities[0], Log: logrus.NewEntry(logger)})
	return client, member.Member{Name: "server", Address: address, Fingerprint: identities[1].Fingerprint}
}

// sentBytes returns the bytes that the client's connections have sent and received.
func sentBytes(t *Transport) (sum uint64) {
	for _, connection := range t.connections {
		stats := connection.ConnectionStats()
		sum += stats.BytesSent + stats.BytesReceived
	}
	return sum
}

// processorTime returns the processor time of this process in nanoseconds.
func processorTime(b *testing.B) int64 {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return usage.Utime.Nano() + usage.Stime.Nano()
}
