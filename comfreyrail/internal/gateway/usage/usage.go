package usage

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/rail/pipeline"
)

// Times and sizes of the datagrams.
const (
	// tellEvery is the time between two datagrams to the same few instances.
	tellEvery = 200 * time.Millisecond
	// heardFor is how long a datagram counts.
	heardFor = 1200 * time.Millisecond
	// tellNear is the greatest number of instances of the own availability zone that are told at a time.
	tellNear = 5
	// tellFar is the greatest number of instances of other availability zones that are told at a time.
	tellFar = 3
	// tellBytes is the number of bytes of datagrams in a second beyond which fewer instances are told, but one of each kind.
	tellBytes = 16 << 10
	// maxDatagram is the greatest size of a datagram in bytes, so that it is never fragmented.
	maxDatagram = 1400
	// maxEngines is the greatest number of engines in a datagram.
	maxEngines = 130
)

// Peer is another instance.
type Peer struct {
	// Address is its UDP host and port.
	Address string
	// Zone is its availability zone.
	Zone string
}

// Config configures an Exchange.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Zone is the availability zone of this instance.
	Zone string
	// Listen is the UDP host and port of this instance.
	Listen string
	// Peers returns the other instances.
	Peers func() []Peer
	// Usage returns what this instance has at each engine.
	Usage func() map[string]pipeline.Usage
	// Log receives the log.
	Log *logrus.Entry
}

// Exchange tells and hears how much work instances have at engines.
type Exchange struct {
	config Config

	mu    sync.Mutex
	heard map[string]report
}

// report is what another instance told last.
type report struct {
	at        time.Time
	zone      string
	near, far int // instances of its own zone and of others that it tells at a time
	uses      map[uint32]pipeline.Usage
}

// New returns an Exchange that has heard nothing.
func New(config Config) *Exchange { return &Exchange{config: config, heard: make(map[string]report)} }

// Serve tells and hears until the context ends.
func (s *Exchange) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "share of work")
	address, err := net.ResolveUDPAddr("udp4", s.config.Listen)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	go s.tell(ctx, socket)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		if err = s.hear(time.Now(), buffer[:n]); err != nil {
			s.config.Log.WithError(err).Debug("datagram ignored")
		}
	}
}

// tell sends datagrams until the context ends.
func (s *Exchange) tell(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(tellEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peers := s.config.Peers()
		if len(peers) == 0 {
			continue
		}
		uses := s.config.Usage()
		near, far := reach(len(uses))
		datagram, err := encode(message{Name: s.config.Name, Zone: s.config.Zone, Near: near, Far: far}, uses)
		if err != nil {
			s.config.Log.WithError(err).Error("datagram not written")
			continue
		}
		for _, peer := range s.pick(peers, near, far) {
			s.send(socket, peer.Address, datagram)
		}
	}
}

// reach returns how many instances of the own zone and of others are told of so many engines at a time.
func reach(engines int) (near, far int) {
	size := headerBytes + min(engines, maxEngines)*entryBytes
	most := int(tellBytes * tellEvery.Seconds() / float64(size))
	far = min(max(most*tellFar/(tellNear+tellFar), 1), tellFar)
	near = min(max(most-far, 1), tellNear)
	return near, far
}

// pick draws the instances that are told next: a few of the own availability zone, and fewer of the others, as bytes
// between zones are dear.
func (s *Exchange) pick(peers []Peer, near, far int) (picked []Peer) {
	for _, i := range rand.Perm(len(peers)) {
		left := &far
		if peers[i].Zone == s.config.Zone {
			left = &near
		}
		if *left > 0 {
			*left--
			picked = append(picked, peers[i])
		}
	}
	return picked
}

func (s *Exchange) send(socket *net.UDPConn, peer string, datagram []byte) {
	to, err := netip.ParseAddrPort(peer)
	if err == nil {
		_, err = socket.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		s.config.Log.WithError(err).WithField("peer", peer).Debug("datagram not sent")
	}
}

// hear takes a datagram.
func (s *Exchange) hear(now time.Time, datagram []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "read datagram")
	name, told, err := decode(datagram)
	if err != nil {
		return err
	}
	if name == s.config.Name {
		return errors.New("not from another instance")
	}
	told.at = now
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[name] = told
	return nil
}

// PeerUsage returns the work of all other instances at an engine. Of each availability zone only some were told to tell this
// instance lately: those that were heard stand for as many more as are to be expected.
func (s *Exchange) PeerUsage(now time.Time) func(id string) (use pipeline.Usage, known bool) {
	members := make(map[string]int)
	far := 0
	for _, peer := range s.config.Peers() {
		members[peer.Zone]++
		if peer.Zone != s.config.Zone {
			far++
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	heard := make(map[string]int)
	for name, told := range s.heard {
		if now.Sub(told.at) > heardFor {
			delete(s.heard, name)
			continue
		}
		heard[told.zone]++
	}
	total := make(map[uint32]pipeline.Usage)
	for _, told := range s.heard {
		chance := chanceHeard(told.far, far)
		if told.zone == s.config.Zone {
			chance = chanceHeard(told.near, members[told.zone])
		}
		listed := max(float64(members[told.zone])/float64(heard[told.zone]), 1)
		add(total, told.uses, min(listed, 1/chance))
	}
	return func(id string) (pipeline.Usage, bool) { return total[hash(id)], len(heard) > 0 }
}

// chanceHeard returns the chance that one of so many instances, each of which tells a few at a time, was heard lately.
func chanceHeard(told, among int) float64 {
	const rounds = float64(heardFor) / float64(tellEvery)
	missed := 1 - min(float64(told)/float64(max(among, 1)), 1)
	return 1 - math.Pow(missed, rounds)
}

// add counts the uses so many times in the total.
func add(total, uses map[uint32]pipeline.Usage, times float64) {
	for engine, use := range uses {
		sum := total[engine]
		total[engine] = pipeline.Usage{
			ReservedKV: sum.ReservedKV + times*use.ReservedKV, WorkRate: sum.WorkRate + times*use.WorkRate, Suspect: sum.Suspect || use.Suspect,
			Slowness: max(sum.Slowness, use.Slowness),
		}
	}
}
