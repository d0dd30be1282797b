package install

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Default times of an Installer.
const (
	// DefaultIsolationTimeout is the time without a word from the service or any peer after which an instance is not ready.
	DefaultIsolationTimeout = 30 * time.Second
	// DefaultStartWait is the time that a starting instance waits for the service before it trusts its peers alone.
	DefaultStartWait = 5 * time.Second
	// DefaultFetchTimeout is the time after which a fetch without an end counts as failed.
	DefaultFetchTimeout = 6 * time.Second
)

// maxCandidates is the number of generations that an instance gathers content for at a time.
const maxCandidates = 4

// maxSources is the number of peers that are remembered as sources of a candidate.
const maxSources = 8

// Config configures an Installer; zero times take the defaults.
type Config struct {
	// Checker counts violated invariants.
	Checker *invariant.Checker
	// IsolationTimeout is the time without a word from anyone after which the instance is not ready.
	IsolationTimeout time.Duration
	// StartWait is the time that a start waits for the service.
	StartWait time.Duration
	// FetchTimeout is the time after which a fetch counts as failed.
	FetchTimeout time.Duration
}

// Installer decides for one instance; it is used by one goroutine.
//
// It trusts what is in force once it caught up: the service or peers answered since the start, or since it was isolated,
// and nobody named a greater generation.
type Installer struct {
	config     Config
	inForce    *InForce
	candidates []*candidate
	fetched    map[table.Hash][]byte
	// heard is the greatest generation that anyone named.
	heard uint64

	started    time.Time
	contact    time.Time
	service    bool
	peers      bool
	peersAsked bool
	caughtUp   bool
	ready      bool
	reason     string
	announced  bool
}

// New returns an Installer with empty tables in force.
func New(config Config) *Installer {
	if config.IsolationTimeout == 0 {
		config.IsolationTimeout = DefaultIsolationTimeout
	}
	if config.StartWait == 0 {
		config.StartWait = DefaultStartWait
	}
	if config.FetchTimeout == 0 {
		config.FetchTimeout = DefaultFetchTimeout
	}
	return &Installer{
		config:  config,
		inForce: &InForce{Tables: &table.Tables{}},
		fetched: make(map[table.Hash][]byte),
	}
}

// InForce returns the generation in force.
func (i *Installer) InForce() *InForce { return i.inForce }

// Ready reports whether the instance takes requests.
func (i *Installer) Ready() bool { return i.ready }

// Handle takes an event at the time and returns what to do.
func (i *Installer) Handle(event Event, now time.Time) []Action {
	if i.started.IsZero() {
		i.started, i.contact = now, now
	}
	var actions []Action
	switch event := event.(type) {
	case HeadRead:
		i.service, i.contact = true, now
		actions = i.headRead(event.Manifest, now)
	case HeadAbsent, HeadUnchanged:
		i.service, i.contact = true, now
	case GenerationOffered:
		i.peers, i.contact = true, now
		actions = i.offered(event, now)
	case PeersPolled:
		i.peersAsked = true
	case Fetched:
		if !event.Failed {
			i.contact = now
		}
		actions = i.keep(event, now)
	case Tick:
		actions = i.expire(now)
	}
	return append(actions, i.readiness(now)...)
}

// headRead takes a manifest that the service answered with.
func (i *Installer) headRead(manifest table.Manifest, now time.Time) []Action {
	chunk, err := table.EncodeManifest(&manifest)
	if err != nil || !i.wanted(manifest.Generation, chunk.Hash) {
		return nil
	}
	i.fetched[chunk.Hash] = chunk.Content
	return i.gather(i.add(manifest.Generation, chunk.Hash, Source{}), now)
}

// offered takes a generation that a peer has in force.
func (i *Installer) offered(event GenerationOffered, now time.Time) []Action {
	if !i.wanted(event.Generation, event.Hash) {
		return nil
	}
	return i.gather(i.add(event.Generation, event.Hash, Source{Peer: event.Peer}), now)
}

// wanted reports whether the generation is newer than the one in force, and asserts that a generation has one content.
func (i *Installer) wanted(generation uint64, hash table.Hash) bool {
	i.heard = max(i.heard, generation)
	if generation < i.inForce.Manifest.Generation || generation == 0 {
		return false
	}
	if generation > i.inForce.Manifest.Generation {
		return true
	}
	i.same(generation, i.inForce.Hash, hash)
	return false
}

// same asserts that a generation has the content that was heard of first.
func (i *Installer) same(generation uint64, known, hash table.Hash) bool {
	return i.config.Checker.Check(known == hash, "one content for each generation",
		"generation %d has the manifest %s here and %s elsewhere", generation, known, hash) == nil
}

// expire treats fetches that never ended as failed.
func (i *Installer) expire(now time.Time) []Action {
	var actions []Action
	for _, c := range slices.Clone(i.candidates) {
		if c.fetching && now.Sub(c.asked) > i.config.FetchTimeout {
			actions = append(actions, i.retreat(c, now)...)
		}
	}
	return actions
}

// install puts a candidate in force whose content is complete.
func (i *Installer) install(c *candidate) []Action {
	i.drop(c)
	defer i.forget()
	tables, err := table.DecodeTables(c.manifest, i.find)
	if err == nil {
		if problems := tables.Validate(); len(problems) > 0 {
			err = fmt.Errorf("%s", problems[0])
		}
	}
	if i.config.Checker.Check(err == nil, "accepted tables are valid", "generation %d: %v", c.generation, err) != nil {
		return nil
	}
	if i.config.Checker.Check(c.generation > i.inForce.Manifest.Generation, "generation never decreases",
		"generation %d would follow %d", c.generation, i.inForce.Manifest.Generation) != nil {
		return nil
	}
	i.inForce = i.next(c, tables)
	return []Action{Install{InForce: i.inForce}}
}

// next returns the generation of the candidate with its content and that of the generation it replaces.
func (i *Installer) next(c *candidate, tables *table.Tables) *InForce {
	next := &InForce{Tables: tables, Manifest: *c.manifest, Hash: c.hash, Contents: make(map[table.Hash][]byte)}
	names := slices.Concat(c.manifest.Chunks, i.inForce.Manifest.Chunks, []table.Hash{c.hash, i.inForce.Hash})
	for _, hash := range names {
		if content, ok := i.find(hash); ok {
			next.Contents[hash] = content
		}
	}
	return next
}

// forget drops the candidates that are no longer newer, and the content that none needs.
func (i *Installer) forget() {
	i.candidates = slices.DeleteFunc(i.candidates, func(c *candidate) bool {
		return c.generation <= i.inForce.Manifest.Generation
	})
	if len(i.candidates) == 0 {
		clear(i.fetched)
	}
}

// find returns content that is in force or was fetched.
func (i *Installer) find(hash table.Hash) ([]byte, bool) {
	if content, ok := i.inForce.Contents[hash]; ok {
		return content, true
	}
	content, ok := i.fetched[hash]
	return content, ok
}

// readiness returns the change of readiness, if there is one.
func (i *Installer) readiness(now time.Time) []Action {
	reason := i.obstacle(now)
	if i.announced && reason == i.reason {
		return nil
	}
	i.announced, i.reason, i.ready = true, reason, reason == ""
	return []Action{SetReady{Ready: i.ready, Reason: reason}}
}

// obstacle says why the instance is not ready, empty if it is.
func (i *Installer) obstacle(now time.Time) string {
	if now.Sub(i.contact) > i.config.IsolationTimeout {
		i.started, i.service, i.peers, i.caughtUp = now, false, false, false
		return fmt.Sprintf("neither the platform's service nor any peer was heard for %s", i.config.IsolationTimeout)
	}
	if i.caughtUp {
		return ""
	}
	trusted := i.service || i.peers && now.Sub(i.started) >= i.config.StartWait
	switch {
	case !trusted || !i.peersAsked:
		return "waiting for the platform's service or the peers to tell the newest generation"
	case i.heard > i.inForce.Manifest.Generation:
		return fmt.Sprintf("generation %d is accepted, but its content is not here yet", i.heard)
	case i.inForce.Manifest.Generation == 0:
		return "no tables are in force"
	}
	i.caughtUp = true
	return ""
}
