package quarantine

import (
	"context"
	"reflect"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// checkInterval is the time between checks whether the own report has changed.
const checkInterval = 250 * time.Millisecond

// Config configures a Keeper.
type Config struct {
	// Name is the name of this instance.
	Name string
	// Snapshot returns the newest snapshot of the catalog.
	Snapshot func() *catalog.Snapshot
	// FetchState requests the state of an engine.
	FetchState func(ctx context.Context, server backend.Server) (backend.State, error)
	// Grant creates a lease with the given time to live.
	Grant func(ctx context.Context, ttl time.Duration) (store.Lease, error)
	// Commit commits a transaction and returns the era of the store, zero if unknown.
	Commit func(ctx context.Context, transaction store.Transaction) (era uint64, err error)
	// Clock is the clock of the timeouts of calls; nil means an ordinary one.
	Clock *runclock.Clock
	// Announce sends what this instance saw of a crash to other instances at once, without any promise that it arrives; nil
	// means that they learn of it from the store only.
	Announce func(content []byte)
	// Metrics counts crashes and blocked requests.
	Metrics metrics.Registry
	// Log is the logger.
	Log *logrus.Entry
}

// Keeper decides which requests must not be sent to engines or to other servers; its methods may be called concurrently.
type Keeper struct {
	config    Config
	changed   chan struct{} // receives an element when the own report may have changed
	announcer *announcer

	mu          sync.Mutex
	finder      *poison.Finder
	evidence    map[string]poison.Evidence // of the snapshot that the finder knows
	probes      map[string]*crashProbe     // by engine
	unconfirmed []unconfirmedCrash         // ended connections to servers that were alive or silent
	reprobed    map[string]bool            // the silent servers that are being probed again
	waiting     map[*waitingRequest]bool   // requests that wait for the begin of an answer
}

// New returns a Keeper, which shares what it sees while Serve runs.
func New(config Config) *Keeper {
	return &Keeper{
		config: config, changed: make(chan struct{}, 1), finder: poison.NewFinder(config.Name), probes: make(map[string]*crashProbe),
		waiting: make(map[*waitingRequest]bool), announcer: newAnnouncer(), reprobed: make(map[string]bool),
	}
}

// Blocked returns why a request must not be sent, and false if it may be.
func (k *Keeper) Blocked(request poison.Request) (cause poison.Cause, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readEvidence()
	if cause, ok = k.finder.Blocked(time.Now(), request); ok {
		metrics.GetOrRegisterCounter("quarantine.blocked", k.config.Metrics).Inc(1)
	}
	if cause.Digest != "" {
		metrics.GetOrRegisterCounter("quarantine.blocked.requests", k.config.Metrics).Inc(1)
	}
	return cause, ok
}

// Began records that an engine has begun the answer to a request.
func (k *Keeper) Began(request poison.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finder.Began(time.Now(), request)
}

// Answered records that a server has answered a request, or that the answer has gone on for so long that the server will not crash
// because of it.
func (k *Keeper) Answered(request poison.Request) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finder.Answered(time.Now(), request)
}

// ConnectionEnded records that the connection to a server has ended before a request was answered, and whether the answer had begun. It
// probes the server and returns whether it has crashed. Of an empty request nothing is recorded.
func (k *Keeper) ConnectionEnded(ctx context.Context, server backend.Server, request poison.Request, began bool) (crashed bool) {
	crashed, silent := k.probe(ctx, server)
	if !crashed {
		k.keepUnconfirmed(server, request, began, silent)
		return false
	}
	k.recordCrash(server, request, began)
	return true
}

// recordCrash records that a server may have crashed under a request, and tells the other instances.
func (k *Keeper) recordCrash(server backend.Server, request poison.Request, began bool) {
	if request.IsEmpty() {
		return
	}
	engine := incarnation(server)
	k.mu.Lock()
	k.readEvidence()
	k.finder.Crashed(time.Now(), engine, request, began)
	k.withdrawBlocked()
	k.mu.Unlock()
	fields := logrus.Fields{"server": server.ID, "address": server.Address, "parts": request.Parts, "digest": request.Digest, "began": began}
	message := "an engine crashed before a request was answered"
	if k.isPlain(server) {
		message = "a server crashed before a request was answered"
	}
	k.config.Log.WithFields(fields).Info(message)
	k.announcer.add(engine)
	select {
	case k.changed <- struct{}{}:
	default:
	}
}

// readEvidence gives the finder the evidence of the newest snapshot, if it has changed. The caller must hold the mutex.
func (k *Keeper) readEvidence() {
	evidence := k.config.Snapshot().CrashReports
	if reflect.ValueOf(evidence).Pointer() == reflect.ValueOf(k.evidence).Pointer() {
		return
	}
	k.evidence = evidence
	k.finder.SetEvidence(time.Now(), evidence)
	k.withdrawBlocked()
}

// Serve announces crashes to other instances, and writes the own report to the store when it changes, until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
	go k.announceCrashes(ctx)
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	var p publisher
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-k.changed:
		case <-ticker.C:
		}
		snapshot := k.config.Snapshot()
		k.resolveUnconfirmed(snapshot)
		k.reprobeUnconfirmed(ctx)
		p.forgetIfRestored(snapshot.Era)
		instances := max(len(snapshot.Instances), 1)
		report := k.report(instances)
		if !p.isDue(report, instances) {
			continue
		}
		if err := p.publish(ctx, k.config, report); err != nil {
			k.config.Log.WithError(err).Warn("cannot write the crash report")
		}
	}
}

// report returns what this instance has to tell the others, by the number of live instances.
func (k *Keeper) report(instances int) poison.Evidence {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readEvidence()
	return k.finder.Evidence(time.Now(), instances)
}
