package usage

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// freeAddress returns a UDP address at which nothing listens.
func freeAddress(t *testing.T) string {
	t.Helper()
	socket, err := net.ListenUDP("udp4", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = socket.Close() }()
	return socket.LocalAddr().String()
}

// newExchange returns a running Exchange with one peer, and what it is told.
func newExchange(t *testing.T, name, listen, peer string) (e *Exchange, announced chan string) {
	t.Helper()
	logger := logrus.New()
	logger.SetOutput(io.Discard)
	announced = make(chan string, 100)
	e = New(Config{
		Name: name, Zone: "a", Listen: listen, Log: logrus.NewEntry(logger),
		Peers:     func() []Peer { return []Peer{{Address: peer, Zone: "a"}} },
		Usage:     func() map[string]pipeline.Usage { return nil },
		Announced: func(from string, content []byte) { announced <- from + " " + string(content) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = e.Serve(ctx) }()
	return e, announced
}

// Guards against an announcement that waits for the next round of reports or is taken for one of them.
func TestAnnounce(t *testing.T) {
	first, second := freeAddress(t), freeAddress(t)
	a, toA := newExchange(t, "a", first, second)
	_, toB := newExchange(t, "b", second, first)
	// Until both sockets are open, announcements are lost.
	for deadline := time.Now().Add(5 * time.Second); len(toB) == 0 && time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		a.Announce([]byte("news"))
	}
	select {
	case got := <-toB:
		if want := "a news"; got != want {
			t.Errorf("got %q, want %q", got, want)
		}
	default:
		t.Error("got no announcement")
	}
	if len(toA) > 0 {
		t.Errorf("got %q at the sender, want nothing", <-toA)
	}
	a.Announce(make([]byte, maxAnnouncement+1))
}

// Guards against an announcement of a process that is no instance, which could have any part blocked.
func TestAnnouncementOfStrangerIsIgnored(t *testing.T) {
	var heard []string
	e := New(Config{
		Name: "me", Peers: func() []Peer { return []Peer{{Address: "10.0.0.2:7340"}} },
		Announced: func(from string, _ []byte) { heard = append(heard, from) },
	})
	datagram, err := cbor.Marshal(announcement{Name: "peer", Content: []byte("news")})
	if err != nil {
		t.Fatal(err)
	}
	for _, sender := range []string{"10.0.0.3:7340", "10.0.0.2:7341", "10.0.0.2:7340", "[::ffff:10.0.0.2]:7340"} {
		if !e.receiveAnnouncement(datagram, netip.MustParseAddrPort(sender)) {
			t.Errorf("%s: got no announcement", sender)
		}
	}
	if got, want := len(heard), 2; got != want {
		t.Errorf("got %d announcements passed on, want those %d of the instance", got, want)
	}
}

// Guards against a report being taken for an announcement, and against a panic on a malformed datagram.
func FuzzReceiveAnnouncement(f *testing.F) {
	report, err := encode(message{Name: "peer", Zone: "a", SameZoneRecipients: 5, OtherZoneRecipients: 3}, nil)
	if err != nil {
		f.Fatal(err)
	}
	f.Add(report)
	f.Add([]byte{0x82, 0x61, 'b', 0x41, 0x01})
	f.Fuzz(func(t *testing.T, datagram []byte) {
		e := New(Config{Name: "me"})
		if e.receiveAnnouncement(datagram, netip.AddrPort{}) && e.receive(start, datagram) == nil {
			t.Error("got a datagram that is an announcement and a report, want one of them")
		}
	})
}
