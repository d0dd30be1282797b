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

// Intervals and limits of the datagrams.
const (
	// sendInterval is the time between two rounds, each of which sends a datagram to a few instances.
	sendInterval = 200 * time.Millisecond
	// reportTTL is how long a received report counts.
	reportTTL = 1200 * time.Millisecond
	// maxSameZonePeers is the maximum number of instances of this instance's zone that a round sends to.
	maxSameZonePeers = 5
	// maxOtherZonePeers is the maximum number of instances of other availability zones that a round sends to.
	maxOtherZonePeers = 3
	// maxBytesPerSecond limits the bytes of datagrams sent in a second: larger datagrams go to fewer instances in a
	// round, but to at least one of this instance's zone and one of the others.
	maxBytesPerSecond = 16 << 10
	// maxDatagram is the maximum size of a received datagram in bytes. With names of usual length, maxEntries keeps sent
	// ones within it, so that they are not fragmented.
	maxDatagram = 1400
	// maxEntries is the maximum number of entries in a datagram, each for an engine or a link between availability zones;
	// further entries are not sent.
	maxEntries = 130
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
	// Peers returns the other live instances.
	Peers func() []Peer
	// Usage returns this instance's usage of engines and of links between availability zones, by ID; it may leave out unused
	// ones.
	Usage func() map[string]pipeline.Usage
	// Announced receives what another instance announced; nil if nothing is announced.
	Announced func(from string, content []byte)
	// Log is the logger.
	Log *logrus.Entry
}

// Exchange sends and receives reports of the usage of engines and of links between availability zones.
type Exchange struct {
	config Config

	mu      sync.Mutex
	reports map[string]report
	socket  *net.UDPConn // nil until Serve has opened it
}

// report is the newest report of another instance.
type report struct {
	receivedAt          time.Time
	zone                string
	sameZoneRecipients  int // number of instances of the sender's zone that it sends to in a round
	otherZoneRecipients int // number of instances of other zones that it sends to in a round
	usage               map[uint32]pipeline.Usage
}

// New returns an Exchange without reports.
func New(config Config) *Exchange { return &Exchange{config: config, reports: make(map[string]report)} }

// Serve sends and receives reports until the context ends.
func (e *Exchange) Serve(ctx context.Context) (err error) {
	defer errors.DeferredAnnotatef(&err, "usage exchange")
	address, err := net.ResolveUDPAddr("udp4", e.config.Listen)
	if err != nil {
		return err
	}
	socket, err := net.ListenUDP("udp4", address)
	if err != nil {
		return err
	}
	defer context.AfterFunc(ctx, func() { _ = socket.Close() })()
	e.setSocket(socket)
	go e.sendLoop(ctx, socket)
	buffer := make([]byte, maxDatagram)
	for {
		n, sender, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
		}
		if e.receiveAnnouncement(buffer[:n], sender) {
			continue
		}
		if err = e.receive(time.Now(), buffer[:n]); err != nil {
			e.config.Log.WithError(err).Debug("datagram ignored")
		}
	}
}

// sendLoop sends a round of datagrams every sendInterval until the context ends.
func (e *Exchange) sendLoop(ctx context.Context, socket *net.UDPConn) {
	ticker := time.NewTicker(sendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peers := e.config.Peers()
		if len(peers) == 0 {
			continue
		}
		usage := e.config.Usage()
		sameZoneRecipients, otherZoneRecipients := fanout(len(usage))
		datagram, err := encode(message{
			Name: e.config.Name, Zone: e.config.Zone, SameZoneRecipients: sameZoneRecipients, OtherZoneRecipients: otherZoneRecipients,
		}, usage)
		if err != nil {
			e.config.Log.WithError(err).Error("cannot encode datagram")
			continue
		}
		for _, peer := range e.pickPeers(peers, sameZoneRecipients, otherZoneRecipients) {
			e.send(socket, peer.Address, datagram)
		}
	}
}

// fanout returns the numbers of instances of this instance's zone and of other zones that a round sends to, given the
// number of engines and links whose usage is sent.
func fanout(entries int) (sameZoneRecipients, otherZoneRecipients int) {
	size := headerBytes + min(entries, maxEntries)*entryBytes
	total := int(maxBytesPerSecond * sendInterval.Seconds() / float64(size))
	otherZoneRecipients = min(max(total*maxOtherZonePeers/(maxSameZonePeers+maxOtherZonePeers), 1), maxOtherZonePeers)
	sameZoneRecipients = min(max(total-otherZoneRecipients, 1), maxSameZonePeers)
	return sameZoneRecipients, otherZoneRecipients
}

// pickPeers draws the instances that the next round sends to: a few of this instance's zone, and fewer of the others,
// because traffic between zones is expensive.
func (e *Exchange) pickPeers(peers []Peer, sameZoneRecipients, otherZoneRecipients int) (picked []Peer) {
	for _, i := range rand.Perm(len(peers)) {
		remaining := &otherZoneRecipients
		if peers[i].Zone == e.config.Zone {
			remaining = &sameZoneRecipients
		}
		if *remaining > 0 {
			*remaining--
			picked = append(picked, peers[i])
		}
	}
	return picked
}

func (e *Exchange) send(socket *net.UDPConn, peer string, datagram []byte) {
	destination, err := netip.ParseAddrPort(peer)
	if err == nil {
		_, err = socket.WriteToUDPAddrPort(datagram, destination)
	}
	if err != nil {
		e.config.Log.WithError(err).WithField("peer", peer).Debug("cannot send datagram")
	}
}

// receive decodes a datagram and replaces the sender's previous report by the one in it.
func (e *Exchange) receive(now time.Time, datagram []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "read datagram")
	name, received, err := decode(datagram)
	if err != nil {
		return err
	}
	if name == e.config.Name {
		return errors.New("the sender has the name of this instance")
	}
	received.receivedAt = now
	e.mu.Lock()
	defer e.mu.Unlock()
	e.reports[name] = received
	return nil
}

// PeerUsage returns a function that estimates the usage of an engine or link by all other instances. The function
// returns false if none of them has reported within reportTTL.
func (e *Exchange) PeerUsage(now time.Time) func(id string) (usage pipeline.Usage, known bool) {
	instances := make(map[string]int)
	otherZoneInstances := 0
	for _, peer := range e.config.Peers() {
		instances[peer.Zone]++
		if peer.Zone != e.config.Zone {
			otherZoneInstances++
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	reporting := make(map[string]int)
	for name, r := range e.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(e.reports, name)
			continue
		}
		reporting[r.zone]++
	}
	total := make(map[uint32]pipeline.Usage)
	// Each instance sends to only a few others in a round, so a report stands for several instances: it is divided by
	// the probability that it arrived, but multiplied at most by the ratio of the listed instances of its zone to the
	// reporting ones.
	for _, r := range e.reports {
		probability := receiveProbability(r.otherZoneRecipients, otherZoneInstances)
		if r.zone == e.config.Zone {
			probability = receiveProbability(r.sameZoneRecipients, instances[r.zone])
		}
		maxFactor := max(float64(instances[r.zone])/float64(reporting[r.zone]), 1)
		addScaled(total, r.usage, min(maxFactor, 1/probability))
	}
	return func(id string) (pipeline.Usage, bool) { return total[hashID(id)], len(reporting) > 0 }
}

// receiveProbability returns the probability that at least one report of an instance arrives here within reportTTL, if
// in each round it draws the given number of recipients from the given number of instances.
func receiveProbability(recipients, instances int) float64 {
	const rounds = float64(reportTTL) / float64(sendInterval)
	missProbability := 1 - min(float64(recipients)/float64(max(instances, 1)), 1)
	return 1 - math.Pow(missProbability, rounds)
}

// addScaled adds the usage, multiplied by the factor, to the total. FailedRecently and Slowness are not scaled: the total
// gets FailedRecently if either has it, and the greater Slowness.
func addScaled(total, usage map[uint32]pipeline.Usage, factor float64) {
	for id, u := range usage {
		sum := total[id]
		total[id] = pipeline.Usage{
			ReservedKV: sum.ReservedKV + factor*u.ReservedKV, WorkRate: sum.WorkRate + factor*u.WorkRate, FailedRecently: sum.FailedRecently || u.FailedRecently,
			Slowness: max(sum.Slowness, u.Slowness),
		}
	}
}
