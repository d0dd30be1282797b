package install

import (
	"fmt"
	"slices"
	"time"

	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/table"
)

// Default durations of a Config.
const (
	// DefaultIsolationTimeout is the default of Config.IsolationTimeout.
	DefaultIsolationTimeout = 30 * time.Second
	// DefaultStartWait is the default of Config.StartWait.
	DefaultStartWait = 5 * time.Second
	// DefaultFetchTimeout is the default of Config.FetchTimeout.
	DefaultFetchTimeout = 6 * time.Second
)

// maxCandidates is the maximum number of generations whose content an instance fetches at the same time.
const maxCandidates = 4

// maxSources is the maximum number of sources that are recorded for a candidate.
const maxSources = 8

// Config configures an Installer; a zero duration means the default.
type Config struct {
	// Checker counts violated invariants; it must not be nil.
	Checker *invariant.Checker
	// IsolationTimeout is how long the instance stays ready without contact to the store or any peer.
	IsolationTimeout time.Duration
	// StartWait is how long the instance waits for the store after a start or an isolation before it relies on its peers
	// alone.
	StartWait time.Duration
	// FetchTimeout is the time after which an unfinished fetch counts as failed.
	FetchTimeout time.Duration
}

// Installer is the state machine that decides which generation one instance puts in force and whether the instance is ready.
// It is not safe for concurrent use.
type Installer struct {
	config     Config
	inForce    *InForce
	candidates []*candidate
	fetched    map[table.Hash][]byte
	// newestReported is the greatest generation that the store or a peer reported.
	newestReported uint64

	// waitingSince is the time of the first event, or of the last one at which the instance was isolated.
	waitingSince      time.Time
	lastContact       time.Time
	storeResponded    bool
	peerResponded     bool
	peersQueried      bool
	caughtUp          bool
	ready             bool
	reason            string
	readinessReported bool
}

// New returns an Installer with empty tables of generation zero in force.
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

// Ready reports whether the instance is to take requests.
func (i *Installer) Ready() bool { return i.ready }

// Handle processes an event that happened at now and returns the actions to carry out.
func (i *Installer) Handle(event Event, now time.Time) []Action {
	if i.waitingSince.IsZero() {
		i.waitingSince, i.lastContact = now, now
	}
	var actions []Action
	switch event := event.(type) {
	case HeadRead:
		i.storeResponded, i.lastContact = true, now
		actions = i.handleHead(event.Manifest, now)
	case HeadAbsent, HeadUnchanged:
		i.storeResponded, i.lastContact = true, now
	case GenerationOffered:
		i.peerResponded, i.lastContact = true, now
		actions = i.handleOffer(event, now)
	case PeersQueried:
		i.peersQueried = true
	case Fetched:
		if !event.Failed {
			i.lastContact = now
		}
		actions = i.handleFetched(event, now)
	case Tick:
		actions = i.expireFetches(now)
	}
	return append(actions, i.updateReadiness(now)...)
}

// handleHead adds the manifest read from the store as a candidate if it is newer.
func (i *Installer) handleHead(manifest table.Manifest, now time.Time) []Action {
	chunk, err := table.EncodeManifest(&manifest)
	if err != nil || !i.observeGeneration(manifest.Generation, chunk.Hash) {
		return nil
	}
	i.fetched[chunk.Hash] = chunk.Content
	return i.fetchOrInstall(i.addCandidate(manifest.Generation, chunk.Hash, Source{}), now)
}

// handleOffer adds the generation in force at a peer as a candidate if it is newer.
func (i *Installer) handleOffer(event GenerationOffered, now time.Time) []Action {
	if !i.observeGeneration(event.Generation, event.Hash) {
		return nil
	}
	return i.fetchOrInstall(i.addCandidate(event.Generation, event.Hash, Source{Peer: event.Peer}), now)
}

// observeGeneration updates newestReported and reports whether the generation is newer than the one in force.
// For the generation in force it checks the invariant that a generation has a single content.
func (i *Installer) observeGeneration(generation uint64, hash table.Hash) bool {
	i.newestReported = max(i.newestReported, generation)
	if generation < i.inForce.Manifest.Generation || generation == 0 {
		return false
	}
	if generation > i.inForce.Manifest.Generation {
		return true
	}
	i.checkSameContent(generation, i.inForce.Hash, hash)
	return false
}

// checkSameContent checks the invariant that a generation has a single content, and reports whether it holds.
func (i *Installer) checkSameContent(generation uint64, first, hash table.Hash) bool {
	return i.config.Checker.Check(first == hash, "one content for each generation",
		"generation %d has the manifest %s at this instance and %s at another source", generation, first, hash) == nil
}

// expireFetches treats the fetches that exceed FetchTimeout as failed.
func (i *Installer) expireFetches(now time.Time) []Action {
	var actions []Action
	for _, c := range slices.Clone(i.candidates) {
		if c.fetching && now.Sub(c.requestedAt) > i.config.FetchTimeout {
			actions = append(actions, i.tryNextSource(c, now)...)
		}
	}
	return actions
}

// installCandidate decodes and validates a candidate with complete content and puts it in force.
func (i *Installer) installCandidate(c *candidate) []Action {
	i.removeCandidate(c)
	defer i.pruneCandidates()
	tables, err := table.DecodeTables(c.manifest, i.findContent)
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
	i.inForce = i.newInForce(c, tables)
	return []Action{Install{InForce: i.inForce}}
}

// newInForce returns the generation of the candidate, with its content and the content of the generation it replaces.
func (i *Installer) newInForce(c *candidate, tables *table.Tables) *InForce {
	next := &InForce{Tables: tables, Manifest: *c.manifest, Hash: c.hash, Contents: make(map[table.Hash][]byte)}
	hashes := slices.Concat(c.manifest.Chunks, i.inForce.Manifest.Chunks, []table.Hash{c.hash, i.inForce.Hash})
	for _, hash := range hashes {
		if content, ok := i.findContent(hash); ok {
			next.Contents[hash] = content
		}
	}
	return next
}

// pruneCandidates removes the candidates that are not newer than the generation in force, and the fetched content once
// no candidate is left.
func (i *Installer) pruneCandidates() {
	i.candidates = slices.DeleteFunc(i.candidates, func(c *candidate) bool {
		return c.generation <= i.inForce.Manifest.Generation
	})
	if len(i.candidates) == 0 {
		clear(i.fetched)
	}
}

// findContent returns content of the generation in force or content that was fetched.
func (i *Installer) findContent(hash table.Hash) ([]byte, bool) {
	if content, ok := i.inForce.Contents[hash]; ok {
		return content, true
	}
	content, ok := i.fetched[hash]
	return content, ok
}

// updateReadiness returns a SetReady if the readiness or its reason changed.
func (i *Installer) updateReadiness(now time.Time) []Action {
	reason := i.checkReadiness(now)
	if i.readinessReported && reason == i.reason {
		return nil
	}
	i.readinessReported, i.reason, i.ready = true, reason, reason == ""
	return []Action{SetReady{Ready: i.ready, Reason: reason}}
}

// checkReadiness returns the reason why the instance is not ready, or an empty string if it is. It sets caughtUp, and
// resets the state of an isolated instance, which must catch up again as after a start, except that the peers need not be
// queried again.
func (i *Installer) checkReadiness(now time.Time) string {
	if now.Sub(i.lastContact) > i.config.IsolationTimeout {
		i.waitingSince, i.storeResponded, i.peerResponded, i.caughtUp = now, false, false, false
		return fmt.Sprintf("neither the platform's service nor any peer was heard for %s", i.config.IsolationTimeout)
	}
	if i.caughtUp {
		return ""
	}
	confirmed := i.storeResponded || i.peerResponded && now.Sub(i.waitingSince) >= i.config.StartWait
	switch {
	case !confirmed || !i.peersQueried:
		return "waiting for the platform's service or the peers to tell the newest generation"
	case i.newestReported > i.inForce.Manifest.Generation:
		return fmt.Sprintf("generation %d is accepted, but its content is not here yet", i.newestReported)
	case i.inForce.Manifest.Generation == 0:
		return "no tables are in force"
	}
	i.caughtUp = true
	return ""
}
