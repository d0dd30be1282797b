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
	// reportTTL is how long a received report of an instance counts.
	reportTTL = 1200 * time.Millisecond
	// totalTTL is how long a received estimate of a zone's total counts. If each instance sends one in a round, three of each
	// zone reach each instance of five zones within this time.
	totalTTL = 2400 * time.Millisecond
	// maxSameZonePeers is the maximum number of instances of this instance's zone that a round sends to.
	maxSameZonePeers = 5
	// maxOtherZonePeers is the maximum number of instances of other availability zones that a round sends to; it is at least one.
	maxOtherZonePeers = 3
	// totalsPerRound is the number of estimates of a zone's total that its instances send together in a round, within
	// maxOtherZonePeers for each.
	totalsPerRound = 9
	// maxBytesPerSecond limits the bytes of datagrams sent in a second: larger datagrams go to fewer instances in a
	// round, but to at least one of this instance's zone and one of the others.
	maxBytesPerSecond = 16 << 10
	// maxDatagram is the maximum size of a received datagram in bytes. With names of usual length, maxEntries keeps sent
	// ones within it, so that they are not fragmented.
	maxDatagram = 1400
	// maxEntries is the maximum number of entries in a report, each for an engine or a link between availability zones. Those
	// that matter least are not sent.
	maxEntries = 130
	// maxTotalEntries is the maximum number of entries in an estimate of a zone's total, which crosses to another zone.
	maxTotalEntries = 40
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
	// Log is the logger.
	Log *logrus.Entry
}

// Exchange sends and receives reports of the usage of engines and of links between availability zones.
//
// Within an availability zone each instance tells a few others its own usage. To other zones, where bytes are expensive, it
// sends its estimate of the total of its zone.
type Exchange struct {
	config Config

	mu      sync.Mutex
	reports map[string]report // newest reports of instances of this instance's zone, by name
	totals  map[string]report // newest estimates of the totals of other zones, by zone
}

// report is a report of another instance, or its estimate of the total of its zone.
type report struct {
	receivedAt time.Time
	zone       string
	recipients int  // number of instances of the sender's zone that it sends to in a round
	total      bool // whether it is an estimate of the zone's total
	usage      map[uint32]pipeline.Usage
}

// New returns an Exchange without reports.
func New(config Config) *Exchange {
	return &Exchange{config: config, reports: make(map[string]report), totals: make(map[string]report)}
}

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
	go e.sendLoop(ctx, socket)
	buffer := make([]byte, maxDatagram)
	for {
		n, _, err := socket.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return err
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
		e.sendRoundTo(time.Now(), func(peer string, datagram []byte) { e.send(socket, peer, datagram) })
	}
}

// sendRoundTo sends this instance's usage to instances of its zone, and the estimate of the zone's total to some of others.
func (e *Exchange) sendRoundTo(now time.Time, send func(peer string, datagram []byte)) {
	sameZone, otherZones := e.splitByZone(e.config.Peers())
	own := hashed(e.config.Usage())
	totals := totalRecipients(len(sameZone) + 1)
	recipients := fanout(len(own), totals)
	header := message{Name: e.config.Name, Zone: e.config.Zone, Recipients: recipients}
	e.sendTo(sameZone, recipients, header, mostLoaded(own, maxEntries), send)
	if len(otherZones) == 0 {
		return
	}
	total := e.sameZoneUsage(now, len(sameZone))
	addScaled(total, own, 1)
	header.Total = true
	e.sendTo(otherZones, totals, header, mostLoaded(total, maxTotalEntries), send)
}

// sendTo sends a datagram to up to count of the peers, drawn at random.
func (e *Exchange) sendTo(peers []Peer, count int, header message, usage map[uint32]pipeline.Usage, send func(peer string, datagram []byte)) {
	datagram, err := encode(header, usage)
	if err != nil {
		e.config.Log.WithError(err).Error("cannot encode datagram")
		return
	}
	for _, i := range rand.Perm(len(peers))[:min(count, len(peers))] {
		send(peers[i].Address, datagram)
	}
}

// splitByZone returns the peers of this instance's zone and those of the others.
func (e *Exchange) splitByZone(peers []Peer) (sameZone, otherZones []Peer) {
	for _, peer := range peers {
		if peer.Zone == e.config.Zone {
			sameZone = append(sameZone, peer)
		} else {
			otherZones = append(otherZones, peer)
		}
	}
	return sameZone, otherZones
}

// totalRecipients returns the number of instances of other zones that each of the given number of instances of a zone sends to in
// a round.
func totalRecipients(instances int) int {
	return min(max(totalsPerRound/instances, 1), maxOtherZonePeers)
}

// fanout returns the number of instances of this instance's zone that a round sends to, given the number of engines and links
// whose usage is sent and the number of estimates of the zone's total.
func fanout(entries, totals int) int {
	size := headerBytes + min(entries, maxEntries)*entryBytes
	totalSize := headerBytes + min(entries, maxTotalEntries)*entryBytes
	left := int(maxBytesPerSecond*sendInterval.Seconds()) - totals*totalSize
	return min(max(left/size, 1), maxSameZonePeers)
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

// receive decodes a datagram and replaces the sender's previous report, or the estimate of its zone's total, by that in it.
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
	if received.total {
		e.totals[received.zone] = received
	} else {
		e.reports[name] = received
	}
	return nil
}

// PeerUsage returns a function that estimates the usage of an engine or link by all other instances. The function
// returns false if none of them has reported lately.
func (e *Exchange) PeerUsage(now time.Time) func(id string) (usage pipeline.Usage, known bool) {
	sameZone, _ := e.splitByZone(e.config.Peers())
	total := e.sameZoneUsage(now, len(sameZone))
	e.mu.Lock()
	defer e.mu.Unlock()
	known := len(e.reports) > 0
	for zone, r := range e.totals {
		if now.Sub(r.receivedAt) > totalTTL {
			delete(e.totals, zone)
			continue
		}
		if zone != e.config.Zone {
			addScaled(total, r.usage, 1)
			known = true
		}
	}
	return func(id string) (pipeline.Usage, bool) { return total[hashID(id)], known }
}

// sameZoneUsage estimates the usage by all other instances of this instance's zone, given their number, and discards reports
// that have expired.
//
// Each instance sends to only a few others in a round, so a report stands for several instances: it is divided by the
// probability that it arrived, but multiplied at most by the ratio of the listed instances to the reporting ones.
func (e *Exchange) sameZoneUsage(now time.Time, instances int) map[uint32]pipeline.Usage {
	e.mu.Lock()
	defer e.mu.Unlock()
	for name, r := range e.reports {
		if now.Sub(r.receivedAt) > reportTTL {
			delete(e.reports, name)
		}
	}
	total := make(map[uint32]pipeline.Usage)
	maxFactor := max(float64(instances)/float64(max(len(e.reports), 1)), 1)
	for _, r := range e.reports {
		addScaled(total, r.usage, min(maxFactor, 1/receiveProbability(r.recipients, instances)))
	}
	return total
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
