package share

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
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
	// tellTo is the greatest number of instances that are told at a time.
	tellTo = 8
	// maxEngines is the greatest number of engines in a datagram, so that it is never fragmented.
	maxEngines = 95
	// maxDatagram is the greatest size of a datagram in bytes.
	maxDatagram = 1400
	// rateScale is the number of steps in one second of work a second.
	rateScale = 1000
	// slowScale is the number of steps in one usual time.
	slowScale = 10
	// tokenScale is the number of tokens in one step.
	tokenScale = 64
)

// Config configures a Share.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Listen is the UDP host and port of this instance.
	Listen string
	// Peers returns the addresses of the other instances.
	Peers func() []string
	// Uses returns what this instance has at each engine.
	Uses func() map[string]pipeline.Use
	// Log receives the log.
	Log *logrus.Entry
}

// Share tells and hears how much work instances have at engines.
type Share struct {
	config Config

	mu    sync.Mutex
	heard map[string]report
}

// report is what another instance told last.
type report struct {
	at   time.Time
	uses map[uint32]pipeline.Use
}

// message is a datagram.
type message struct {
	_       struct{} `cbor:",toarray"`
	Name    string
	Engines []entry
}

// entry is the work at one engine.
type entry struct {
	_       struct{} `cbor:",toarray"`
	Engine  uint32
	Tokens  uint16
	Rate    uint16
	Suspect bool
	Slow    uint8 // tenths of the usual time, zero if unknown
}

// New returns a Share that has heard nothing.
func New(config Config) *Share { return &Share{config: config, heard: make(map[string]report)} }

// Serve tells and hears until the context ends.
func (s *Share) Serve(ctx context.Context) (err error) {
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
func (s *Share) tell(ctx context.Context, socket *net.UDPConn) {
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
		datagram, err := encode(s.config.Name, s.config.Uses())
		if err != nil {
			s.config.Log.WithError(err).Error("datagram not written")
			continue
		}
		rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
		for _, peer := range peers[:min(len(peers), tellTo)] {
			s.send(socket, peer, datagram)
		}
	}
}

func (s *Share) send(socket *net.UDPConn, peer string, datagram []byte) {
	to, err := netip.ParseAddrPort(peer)
	if err == nil {
		_, err = socket.WriteToUDPAddrPort(datagram, to)
	}
	if err != nil {
		s.config.Log.WithError(err).WithField("peer", peer).Debug("datagram not sent")
	}
}

func hash(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// encode writes a datagram of the engines that have work.
func encode(name string, uses map[string]pipeline.Use) ([]byte, error) {
	told := message{Name: name}
	for id, use := range uses {
		if len(told.Engines) == maxEngines {
			break
		}
		told.Engines = append(told.Engines, entry{
			Engine: hash(id), Tokens: steps(use.Tokens / tokenScale), Rate: steps(use.Rate * rateScale), Suspect: use.Suspect,
			Slow: uint8(min(math.Round(use.Slowness*slowScale), math.MaxUint8)),
		})
	}
	return cbor.Marshal(told)
}

// steps returns a number of steps, at most what an entry holds.
func steps(n float64) uint16 { return uint16(min(math.Ceil(n), math.MaxUint16)) }

// hear takes a datagram.
func (s *Share) hear(now time.Time, datagram []byte) (err error) {
	defer errors.DeferredAnnotatef(&err, "read datagram")
	var told message
	if err = cbor.Unmarshal(datagram, &told); err != nil {
		return err
	}
	if told.Name == s.config.Name || told.Name == "" || len(told.Engines) > maxEngines {
		return errors.New("not from another instance")
	}
	uses := make(map[uint32]pipeline.Use, len(told.Engines))
	for _, engine := range told.Engines {
		uses[engine.Engine] = pipeline.Use{
			Tokens: float64(engine.Tokens) * tokenScale, Rate: float64(engine.Rate) / rateScale, Suspect: engine.Suspect,
			Slowness: float64(engine.Slow) / slowScale,
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.heard[told.Name] = report{at: now, uses: uses}
	return nil
}

// Others returns the work of all other instances at an engine, scaled from those that were heard lately.
func (s *Share) Others(now time.Time, others int) func(id string) (use pipeline.Use, known bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := make(map[uint32]pipeline.Use)
	heard := 0
	for name, told := range s.heard {
		if now.Sub(told.at) > heardFor {
			delete(s.heard, name)
			continue
		}
		heard++
		for engine, use := range told.uses {
			sum := total[engine]
			total[engine] = pipeline.Use{
				Tokens: sum.Tokens + use.Tokens, Rate: sum.Rate + use.Rate, Suspect: sum.Suspect || use.Suspect,
				Slowness: max(sum.Slowness, use.Slowness),
			}
		}
	}
	scale := 1.0
	if heard > 0 && others > heard {
		scale = float64(others) / float64(heard)
	}
	return func(id string) (pipeline.Use, bool) {
		use := total[hash(id)]
		use.Tokens, use.Rate = use.Tokens*scale, use.Rate*scale
		return use, heard > 0
	}
}
