package quarantine

import (
	"context"
	"fmt"
	"reflect"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
	"github.com/comfreyrail/comfreyrail/rail/store"
)

// Times of a Keeper.
const (
	// checkInterval is the time between checks whether the own report has changed.
	checkInterval = 250 * time.Millisecond
	// minPublishInterval is the minimum time between two writes of the own report.
	minPublishInterval = 200 * time.Millisecond
	// publishRetryInterval is the minimum time between a failed write and the next one.
	publishRetryInterval = time.Second
	// leaseReuse is how long reports are written under one lease.
	leaseReuse = time.Minute
	// publishTimeout is the timeout of a write of the own report.
	publishTimeout = time.Second
	// probeTimeout is the timeout of the probe that confirms a crash.
	probeTimeout = 150 * time.Millisecond
	// probeTTL is how long a probe is kept that found an engine crashed.
	probeTTL = time.Second
)

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
	// Metrics counts crashes and blocked requests.
	Metrics metrics.Registry
	// Log is the logger.
	Log *logrus.Entry
}

// Keeper decides which requests must not be sent to engines; its methods may be called concurrently.
type Keeper struct {
	config  Config
	changed chan struct{} // receives an element when the own report may have changed

	mu       sync.Mutex
	finder   *poison.Finder
	evidence map[string]poison.Evidence // of the snapshot that the finder knows
	probes   map[string]*crashProbe     // by engine
}

// crashProbe is the probe of an engine whose connection ended.
type crashProbe struct {
	at      time.Time
	done    chan struct{} // closed once crashed is set
	crashed bool
}

// isDone reports whether crashed is set.
func (p *crashProbe) isDone() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// New returns a Keeper, which shares what it sees while Serve runs.
func New(config Config) *Keeper {
	return &Keeper{config: config, changed: make(chan struct{}, 1), finder: poison.NewFinder(config.Name), probes: make(map[string]*crashProbe)}
}

// Blocked returns a poisoned part because of which a request with the shared parts must not be sent, and false if there is none.
func (k *Keeper) Blocked(parts []string) (part string, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readEvidence()
	if part, ok = k.finder.Blocked(time.Now(), parts); ok {
		metrics.GetOrRegisterCounter("quarantine.blocked", k.config.Metrics).Inc(1)
	}
	return part, ok
}

// Began records that an engine has begun the answer to a request with the shared parts.
func (k *Keeper) Began(parts []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finder.Began(time.Now(), parts)
}

// Answered records that an engine has answered a request with the shared parts, or that the answer has gone on for so long that the
// engine will not crash because of them.
func (k *Keeper) Answered(parts []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finder.Answered(time.Now(), parts)
}

// ConnectionEnded records that the connection to an engine has ended before a request with the shared parts was answered, and whether
// the answer had begun. It probes the engine and returns whether it has crashed. Without parts nothing is recorded.
func (k *Keeper) ConnectionEnded(ctx context.Context, server backend.Server, parts []string, began bool) (crashed bool) {
	if !k.probe(ctx, server) {
		return false
	}
	if len(parts) == 0 {
		return true
	}
	engine := incarnation(server)
	k.mu.Lock()
	k.readEvidence()
	k.finder.Crashed(time.Now(), engine, parts, began)
	k.mu.Unlock()
	fields := logrus.Fields{"server": server.ID, "address": server.Address, "parts": parts, "began": began}
	k.config.Log.WithFields(fields).Info("an engine crashed before a request was answered")
	select {
	case k.changed <- struct{}{}:
	default:
	}
	return true
}

// incarnation identifies a start of an engine.
func incarnation(server backend.Server) string { return fmt.Sprintf("%s@%d", server.ID, server.Born) }

// probe reports whether an engine refuses connections now. Requests whose connections ended together share a probe. One that found
// the engine crashed is reused; one that found it alive counts only for connections that had ended before it started.
func (k *Keeper) probe(ctx context.Context, server backend.Server) (crashed bool) {
	endedAt := time.Now()
	for {
		probe, first := k.lastProbe(incarnation(server), endedAt)
		if first {
			probe.crashed = k.refusesConnections(ctx, server)
			close(probe.done)
		}
		<-probe.done
		if probe.crashed || !probe.at.Before(endedAt) {
			return probe.crashed
		}
	}
}

// lastProbe returns the last probe of an engine for a connection that ended at the given time. If that probe is over and says nothing
// of the time, it returns a new one, which the caller must carry out.
func (k *Keeper) lastProbe(engine string, endedAt time.Time) (probe *crashProbe, first bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	for id, probe := range k.probes {
		if now.Sub(probe.at) > probeTTL {
			delete(k.probes, id)
		}
	}
	probe = k.probes[engine]
	if probe != nil && (!probe.isDone() || probe.crashed || !probe.at.Before(endedAt)) {
		return probe, false
	}
	probe = &crashProbe{at: now, done: make(chan struct{})}
	k.probes[engine] = probe
	return probe, true
}

// refusesConnections probes an engine and counts it if it has crashed.
func (k *Keeper) refusesConnections(ctx context.Context, server backend.Server) bool {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), probeTimeout)
	defer cancel()
	_, err := k.config.FetchState(ctx, server)
	crashed := errors.Is(err, syscall.ECONNREFUSED)
	if crashed {
		metrics.GetOrRegisterCounter("quarantine.crashes", k.config.Metrics).Inc(1)
	}
	return crashed
}

// readEvidence gives the finder the evidence of the newest snapshot, if it has changed. The caller must hold the mutex.
func (k *Keeper) readEvidence() {
	evidence := k.config.Snapshot().CrashReports
	if reflect.ValueOf(evidence).Pointer() == reflect.ValueOf(k.evidence).Pointer() {
		return
	}
	k.evidence = evidence
	k.finder.SetEvidence(time.Now(), evidence)
}

// Serve writes the own report to the store when it changes, until the context ends.
func (k *Keeper) Serve(ctx context.Context) error {
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
		p.forgetIfRestored(k.config.Snapshot().Era)
		report := k.report()
		if !p.isDue(report) {
			continue
		}
		if err := p.publish(ctx, k.config, report); err != nil {
			k.config.Log.WithError(err).Warn("cannot write the crash report")
		}
	}
}

func (k *Keeper) report() poison.Evidence {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.readEvidence()
	return k.finder.Evidence(time.Now())
}

// publisher writes the own report to the store.
type publisher struct {
	report    poison.Evidence // the last one that was written
	at        time.Time       // when a write was last tried
	failed    bool            // whether that write failed
	lease     store.Lease     // of the record in the store
	grantedAt time.Time       // when the lease was granted, zero if a new one is needed
}

// forgetIfRestored forgets the last write if it was made before the era, the last known one of the store, so that the report is
// written again under a new lease.
func (p *publisher) forgetIfRestored(era uint64) {
	if p.lease.IsOutdated(era) {
		p.report, p.lease, p.grantedAt = poison.Evidence{}, store.Lease{}, time.Time{}
	}
}

// isDue reports whether a report must be written now.
func (p *publisher) isDue(report poison.Evidence) bool {
	interval := minPublishInterval
	if p.failed {
		interval = publishRetryInterval
	}
	return !report.IsEmpty() && !reflect.DeepEqual(report, p.report) && time.Since(p.at) >= interval
}

// publish writes a report under a lease that ends once its crashes no longer count. It returns store.ErrRestored if the store was
// restored between the grant of the lease and the write.
func (p *publisher) publish(ctx context.Context, config Config, report poison.Evidence) (err error) {
	defer errors.DeferredAnnotatef(&err, "write crash report")
	defer func() { p.failed = err != nil }()
	p.at = time.Now()
	value, err := report.Encode()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()
	if time.Since(p.grantedAt) > leaseReuse {
		if p.lease, err = config.Grant(ctx, poison.ReportTTL+leaseReuse); err != nil {
			return err
		}
		p.grantedAt = p.at
	}
	key := catalog.CrashReportPrefix + config.Name
	era, err := config.Commit(ctx, store.Transaction{Writes: []store.Write{{Key: key, Value: value, Lease: p.lease.ID}}})
	if err == nil && p.lease.IsOutdated(era) {
		err = store.ErrRestored
	}
	if err != nil {
		p.grantedAt = time.Time{}
		return err
	}
	p.report = report
	return nil
}
