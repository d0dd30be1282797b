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

// Keys of the records in the store.
const (
	headKey     = "config-head"
	chunkPrefix = "config-chunk-"
)

// Intervals and timeouts of the calls to the store.
const (
	watchWait       = 10 * time.Second
	storeTimeout    = 3 * time.Second
	retryInterval   = time.Second
	minReadInterval = 5 * time.Second
	tickInterval    = time.Second
)

// Maximum rates of the periodic reads of the head and of the sweeps by all instances together, per second.
const (
	readsPerSecond  = 10
	sweepsPerSecond = 1.0 / 60
)

// Config configures a Sync.
type Config struct {
	// Store is the client of the platform's store.
	Store *kv.Client
	// Control decides which tables to fetch and puts them in force.
	Control *control.Control
	// Log receives the result of each edit, lookup and withdrawal, and a warning for each failed read, fetch or query
	// and each malformed hash or key.
	Log *logrus.Entry
	// Metrics receives the counts of edits and failures, and the generation in force.
	Metrics metrics.Registry
}

// PeerOffer is the generation in force at a peer.
type PeerOffer struct {
	gossip.Offer
	// Peer is the name of the peer.
	Peer string
}

// Sync reads the tables and writes edits; its function fields are optional and must not be set after Serve is called.
type Sync struct {
	// IsWatcher reports whether this instance holds an open watch on the head and deletes unused chunks from the
	// store; nil means that it does.
	IsWatcher func() bool
	// MemberCount returns the number of instances, among which the rates are divided; nil means one.
	MemberCount func() int
	// Announce notifies peers that a generation is in force here; it may be nil.
	Announce func(ctx context.Context, offer gossip.Offer)
	// FetchFromPeer returns the content with the hash from a peer; if it is nil, fetches from peers fail.
	FetchFromPeer func(ctx context.Context, peer, hash string) ([]byte, error)
	// PeerOffers returns the generations that several peers have in force; nil means that there are no peers.
	PeerOffers func(ctx context.Context) ([]PeerOffer, error)

	store      *kv.Client
	control    *control.Control
	log        *logrus.Entry
	metrics    metrics.Registry
	rereadHead chan struct{}
	sweeper    *edit.Sweeper

	mu sync.Mutex
	// cachedChunks holds the contents of chunks by hash, as returned by CachedChunks of the last attempt that finished.
	cachedChunks map[table.Hash][]byte
}

// New returns a Sync whose function fields are nil.
func New(config Config) *Sync {
	return &Sync{
		store: config.Store, control: config.Control, log: config.Log, metrics: config.Metrics,
		rereadHead: make(chan struct{}, 1), sweeper: edit.NewSweeper(),
	}
}

// Serve keeps the tables up to date until ctx ends; it returns the error of ctx.
func (s *Sync) Serve(ctx context.Context) error {
	var running sync.WaitGroup
	for _, loop := range []func(context.Context){s.watchHead, s.pollHead, s.tick, s.sweep, s.queryPeers} {
		running.Go(func() { loop(ctx) })
	}
	running.Wait()
	return ctx.Err()
}

// HandleOffer passes the generation that a peer has in force and the hash of its manifest to the installer; it logs and
// ignores a malformed hash.
func (s *Sync) HandleOffer(ctx context.Context, peer string, generation uint64, hash string) {
	parsed, err := table.ParseHash(hash)
	if err != nil {
		s.log.WithError(err).WithField("peer", peer).Warn("peer offered a malformed manifest hash")
		return
	}
	s.handleEvent(ctx, install.GenerationOffered{Peer: peer, Generation: generation, Hash: parsed})
}

// Content returns the content with the hash if it belongs to the generation in force or the one before it.
func (s *Sync) Content(hash string) (content []byte, ok bool) {
	parsed, err := table.ParseHash(hash)
	if err != nil {
		return nil, false
	}
	content, ok = s.control.Snapshot().InForce.Contents[parsed]
	return content, ok
}

// LocalOffer returns the generation in force at this instance and the hash of its manifest.
func (s *Sync) LocalOffer() gossip.Offer {
	inForce := s.control.Snapshot().InForce
	return gossip.Offer{Generation: inForce.Manifest.Generation, Hash: inForce.Hash.String()}
}

// handleEvent sends an event to the control goroutine and performs the actions that it returns.
func (s *Sync) handleEvent(ctx context.Context, event install.Event) {
	actions := make(chan []install.Action, 1)
	s.control.Send(ctx, control.InstallerEvent{At: time.Now(), Event: event, Actions: actions})
	select {
	case list := <-actions:
		for _, action := range list {
			s.performAction(ctx, action)
		}
	case <-ctx.Done():
	}
}

// performAction performs one action; fetches and announcements run in the background and are not canceled with ctx.
func (s *Sync) performAction(ctx context.Context, action install.Action) {
	switch action := action.(type) {
	case install.Fetch:
		go s.fetch(context.WithoutCancel(ctx), action)
	case install.ReadHead:
		select {
		case s.rereadHead <- struct{}{}:
		default:
		}
	case install.Install:
		metrics.GetOrRegisterGauge("config.generation", s.metrics).Update(int64(action.InForce.Manifest.Generation))
		if s.Announce != nil {
			go s.Announce(context.WithoutCancel(ctx), s.LocalOffer())
		}
	}
}

// watchHead holds an open watch on the head while IsWatcher returns true.
func (s *Sync) watchHead(ctx context.Context) {
	var after uint64
	for ctx.Err() == nil {
		if s.IsWatcher != nil && !s.IsWatcher() {
			_ = pause.For(ctx, pause.Jitter(retryInterval))
			continue
		}
		callCtx, cancel := context.WithTimeout(ctx, watchWait+storeTimeout)
		record, err := s.store.Watch(callCtx, headKey, after, watchWait)
		cancel()
		// Watch returns ErrNotFound if no version greater than the variable after is written within watchWait.
		if errors.Is(err, kv.ErrNotFound) && after > 0 {
			s.handleEvent(ctx, install.HeadUnchanged{})
			continue
		}
		after = max(after, record.Version)
		s.handleHead(ctx, record, err)
	}
}

// pollHead reads the head at intervals that grow with the fleet. It reads earlier if the installer requests it, which
// it does when no source has the content of a generation; the head may have changed by then.
func (s *Sync) pollHead(ctx context.Context) {
	for ctx.Err() == nil {
		s.readHead(ctx)
		interval := minReadInterval
		if s.MemberCount != nil {
			interval = max(interval, time.Duration(s.MemberCount())*time.Second/readsPerSecond)
		}
		select {
		case <-time.After(pause.Jitter(interval)):
		case <-s.rereadHead:
			_ = pause.For(ctx, pause.Jitter(retryInterval))
		case <-ctx.Done():
		}
	}
}

// readHead reads the head once and handles the result.
func (s *Sync) readHead(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	record, err := s.store.Get(callCtx, headKey)
	s.handleHead(ctx, record, err)
}

// handleHead handles the result of a read or watch of the head; after a failure it waits before it returns.
func (s *Sync) handleHead(ctx context.Context, record kv.Record, err error) {
	if ctx.Err() != nil {
		return
	}
	if errors.Is(err, kv.ErrNotFound) {
		s.handleEvent(ctx, install.HeadAbsent{})
		return
	}
	var head *table.Head
	if err == nil {
		head, err = table.DecodeHead(record.Value)
	}
	if err != nil {
		s.count("config.read.failed")
		s.log.WithError(err).Warn("cannot read the head of the tables")
		_ = pause.For(ctx, pause.Jitter(retryInterval))
		return
	}
	s.handleEvent(ctx, install.HeadRead{Manifest: head.Manifest})
}

// tick sends install.Tick events, so that the timeouts of the installer take effect.
func (s *Sync) tick(ctx context.Context) {
	for ctx.Err() == nil {
		s.handleEvent(ctx, install.Tick{})
		_ = pause.For(ctx, tickInterval)
	}
}

// queryPeers queries peers once, at the start, for the generation that they have in force.
func (s *Sync) queryPeers(ctx context.Context) {
	if s.PeerOffers != nil {
		offers, err := s.PeerOffers(ctx)
		if err != nil {
			s.log.WithError(err).Warn("cannot query the peers for their generation in force")
		}
		for _, offer := range offers {
			s.HandleOffer(ctx, offer.Peer, offer.Generation, offer.Hash)
		}
	}
	s.handleEvent(ctx, install.PeersQueried{})
}

// count increments the named counter.
func (s *Sync) count(name string) { metrics.GetOrRegisterCounter(name, s.metrics).Inc(1) }
