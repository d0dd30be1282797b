package notices

import (
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/call"
	"github.com/comfreyrail/comfreyrail/rail/event"
	"github.com/comfreyrail/comfreyrail/rail/notice"
)

// Config holds the dependencies of a Keeper.
type Config struct {
	// Snapshot returns the newest snapshot of the catalog.
	Snapshot func() *catalog.Snapshot
	// Metrics counts what servers said, and the choices that excluded servers because of it.
	Metrics metrics.Registry
	// Log is the logger.
	Log *logrus.Entry
}

// Keeper is a notice.Tracker whose methods may be called concurrently.
type Keeper struct {
	config  Config
	mu      sync.Mutex
	tracker *notice.Tracker
}

// New returns an empty Keeper.
func New(config Config) *Keeper { return &Keeper{config: config, tracker: notice.New()} }

// Received records what a server said of itself in a response. It ignores a response that names another server.
func (k *Keeper) Received(server backend.Server, response call.Response) {
	if response.ServerID != "" && response.ServerID != server.ID {
		return
	}
	k.mu.Lock()
	change := k.tracker.Record(time.Now(), server, response)
	if change.Any() {
		k.forget()
	}
	k.mu.Unlock()
	if change.Any() {
		k.report(server, change, response.RetryAfter)
	}
}

// forget removes records that have expired. The mutex must be held.
func (k *Keeper) forget() {
	k.tracker.Forget(time.Now(), slices.Collect(maps.Values(k.config.Snapshot().Servers)))
}

// report logs and counts what a response has changed.
func (k *Keeper) report(server backend.Server, change notice.Change, delay call.RetryAfter) {
	line := event.ServerNotice{Server: server.ID, Address: server.Address, Born: server.Born, Wait: change.Wait, Stated: delay.Text}
	log := k.config.Log.WithFields(line.Fields())
	if change.Leaving {
		k.count("leaving")
		log.Info(event.ServerLeaving)
	}
	if change.Wait > 0 {
		k.count("waits")
		log.WithField("bounded", change.Bounded).Info(event.ServerWaits)
	}
	if change.Malformed {
		k.count("malformed")
		log.Warn(event.ServerWaitMalformed)
	}
}

// count increments a counter of servers.
func (k *Keeper) count(name string) {
	metrics.GetOrRegisterCounter("servers."+name, k.config.Metrics).Inc(1)
}

// Exclude returns which of the servers must not get a request now, for one choice of a server. It counts choices that exclude any.
func (k *Keeper) Exclude(servers []backend.Server) notice.Excluded {
	k.mu.Lock()
	excluded := k.tracker.Exclude(time.Now(), servers)
	k.mu.Unlock()
	if excluded.Leaving > 0 {
		k.count("avoided.leaving")
	}
	if excluded.Waiting > 0 {
		k.count("avoided.waiting")
	}
	return excluded
}

// Waiting reports whether a server wants no requests now.
func (k *Keeper) Waiting(server backend.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Waiting(time.Now(), server)
}

// Leaving reports whether a server has said that it is leaving.
func (k *Keeper) Leaving(server backend.Server) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.Leaving(server)
}

// ServerWait returns the time until one of the servers can get a request; it returns false if one can get it now, or if all are
// leaving or draining.
func (k *Keeper) ServerWait(servers []backend.Server) (wait notice.Wait, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.ServerWait(time.Now(), servers)
}

// ChainWait returns the time until each of the layers is on an engine that can get a request; it returns false if that is so now, or
// if all engines of a layer are leaving or draining.
func (k *Keeper) ChainWait(engines []backend.Server, layers int) (wait notice.Wait, ok bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.tracker.ChainWait(time.Now(), engines, layers)
}
