package configsync

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/edit"
	"github.com/comfreyrail/comfreyrail/rail/gossip"
	"github.com/comfreyrail/comfreyrail/rail/install"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Keys of the records in the platform's service.
const (
	headKey     = "config-head"
	chunkPrefix = "config-chunk-"
)

// Times of the calls to the platform's service.
const (
	watchWait       = 10 * time.Second
	storeTimeout    = 3 * time.Second
	retryPause      = time.Second
	minReadInterval = 5 * time.Second
	tickInterval    = time.Second
)

// Rates of the whole fleet at the platform's service, in calls per second.
const (
	readsPerSecond  = 10
	sweepsPerSecond = 1.0 / 60
)

// Config configures a Sync.
type Config struct {
	// Store is the platform's service.
	Store *kv.Client
	// Control receives the tables.
	Control *control.Control
	// Log receives the log.
	Log *logrus.Entry
	// Metrics receives the counts of edits and failures.
	Metrics metrics.Registry
}

// PeerOffer names the generation in force at a peer.
type PeerOffer struct {
	gossip.Offer
	// Peer names the peer.
	Peer string
}

// Sync reads the tables and writes edits; its function fields are set before Serve.
type Sync struct {
	// IsWatcher reports whether this instance holds a waiting watch and sweeps; nil means that it does.
	IsWatcher func() bool
	// MemberCount returns the number of instances, by which the rates are shared; nil means one.
	MemberCount func() int
	// Announce tells peers that a generation is in force here; nil tells nobody.
	Announce func(ctx context.Context, head gossip.Offer)
	// FetchFromPeer returns content under its hash from a peer; nil fails.
	FetchFromPeer func(ctx context.Context, peer, hash string) ([]byte, error)
	// PeerOffers asks several peers for the generation that they have in force; nil means that there are none.
	PeerOffers func(ctx context.Context) ([]PeerOffer, error)

	store   *kv.Client
	control *control.Control
	log     *logrus.Entry
	metrics metrics.Registry
	again   chan struct{}
	sweeper *edit.Sweeper

	mu   sync.Mutex
	kept map[table.Hash][]byte
}

// New returns a Sync.
func New(config Config) *Sync {
	return &Sync{
		store: config.Store, control: config.Control, log: config.Log, metrics: config.Metrics,
		again: make(chan struct{}, 1), sweeper: edit.NewSweeper(),
	}
}

// Serve reads the tables until the context ends.
func (s *Sync) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){s.watch, s.read, s.tick, s.sweep, s.askPeers} {
		running.Go(func() { loop(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// HandleOffer takes the generation that a peer has in force, and its manifest's hash.
func (s *Sync) HandleOffer(ctx context.Context, peer string, generation uint64, hash string) {
	parsed, err := table.ParseHash(hash)
	if err != nil {
		s.log.WithError(err).WithField("peer", peer).Warn("peer offers a malformed head")
		return
	}
	s.hear(ctx, install.GenerationOffered{Peer: peer, Generation: generation, Hash: parsed})
}

// Content returns content of the generation in force, or the one before it, under its hash.
func (s *Sync) Content(hash string) (content []byte, ok bool) {
	parsed, err := table.ParseHash(hash)
	if err != nil {
		return nil, false
	}
	content, ok = s.control.Snapshot().InForce.Contents[parsed]
	return content, ok
}

// LocalOffer returns the generation in force here.
func (s *Sync) LocalOffer() gossip.Offer {
	inForce := s.control.Snapshot().InForce
	return gossip.Offer{Generation: inForce.Manifest.Generation, Hash: inForce.Hash.String()}
}

// hear hands news to the control goroutine and does what it answers.
func (s *Sync) hear(ctx context.Context, event install.Event) {
	answers := make(chan []install.Action, 1)
	s.control.Send(ctx, control.ConfigEvent{At: time.Now(), Event: event, Actions: answers})
	select {
	case actions := <-answers:
		for _, action := range actions {
			s.perform(ctx, action)
		}
	case <-ctx.Done():
	}
}

// perform does what is left to do about news.
func (s *Sync) perform(ctx context.Context, action install.Action) {
	switch action := action.(type) {
	case install.Fetch:
		go s.fetch(context.WithoutCancel(ctx), action)
	case install.ReadHead:
		select {
		case s.again <- struct{}{}:
		default:
		}
	case install.Install:
		metrics.GetOrRegisterGauge("config.generation", s.metrics).Update(int64(action.InForce.Manifest.Generation))
		if s.Announce != nil {
			go s.Announce(context.WithoutCancel(ctx), s.LocalOffer())
		}
	}
}

// watch waits for changes of the head while it is this instance's duty.
func (s *Sync) watch(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		if s.IsWatcher != nil && !s.IsWatcher() {
			_ = pause.For(ctx, pause.Jitter(retryPause))
			continue
		}
		call, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
		record, err := s.store.Watch(call, headKey, after, watchWait)
		cancel()
		if errors.Is(err, kv.ErrNotFound) && after > 0 {
			s.hear(ctx, install.HeadUnchanged{})
			continue
		}
		after = max(after, record.Version)
		s.heard(ctx, record, err)
	}
}

// read reads the head at intervals that grow with the fleet, and when a fetch found that the head moved on.
func (s *Sync) read(ctx context.Context) {
	for ctx.Err() == nil {
		s.readNow(ctx)
		interval := minReadInterval
		if s.MemberCount != nil {
			interval = max(interval, time.Duration(s.MemberCount())*time.Second/readsPerSecond)
		}
		select {
		case <-time.After(pause.Jitter(interval)):
		case <-s.again:
			_ = pause.For(ctx, pause.Jitter(retryPause))
		case <-ctx.Done():
		}
	}
}

// readNow reads the head once.
func (s *Sync) readNow(ctx context.Context) {
	call, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := s.store.Get(call, headKey)
	s.heard(ctx, record, err)
}

// heard takes the answer to a read of the head.
func (s *Sync) heard(ctx context.Context, record kv.Record, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, kv.ErrNotFound) {
		s.hear(ctx, install.HeadAbsent{})
		return
	}
	var head *table.Head
	if err == nil {
		head, err = table.DecodeHead(record.Value)
	}
	if err != nil {
		s.count("config.read.failed")
		s.log.WithError(err).Warn("cannot read the head of the tables")
		_ = pause.For(ctx, pause.Jitter(retryPause))
		return
	}
	s.hear(ctx, install.HeadRead{Manifest: head.Manifest})
}

// tick lets the control goroutine notice that time passed.
func (s *Sync) tick(ctx context.Context) {
	for ctx.Err() == nil {
		s.hear(ctx, install.Tick{})
		_ = pause.For(ctx, tickInterval)
	}
}

// askPeers asks peers once, at the start, for what they have in force.
func (s *Sync) askPeers(ctx context.Context) {
	if s.PeerOffers != nil {
		heads, err := s.PeerOffers(ctx)
		if err != nil {
			s.log.WithError(err).Warn("cannot ask peers for their tables")
		}
		for _, head := range heads {
			s.HandleOffer(ctx, head.Peer, head.Generation, head.Hash)
		}
	}
	s.hear(ctx, install.PeersPolled{})
}

// count counts one event.
func (s *Sync) count(name string) { metrics.GetOrRegisterCounter(name, s.metrics).Inc(1) }
