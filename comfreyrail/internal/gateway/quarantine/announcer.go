package quarantine

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/pause"
	"github.com/comfreyrail/comfreyrail/rail/backend"
	"github.com/comfreyrail/comfreyrail/rail/poison"
)

// announceDelay is how long the requests whose engine has crashed are gathered for an announcement; their connections end together.
const announceDelay = 10 * time.Millisecond

// announcer gathers the engines whose crashes are to be announced.
type announcer struct {
	added chan struct{} // receives an element when an engine was added

	mu      sync.Mutex
	engines map[string]bool
}

func newAnnouncer() *announcer {
	return &announcer{added: make(chan struct{}, 1), engines: make(map[string]bool)}
}

// add adds an engine of whose crash more has become known.
func (a *announcer) add(engine string) {
	a.mu.Lock()
	a.engines[engine] = true
	a.mu.Unlock()
	select {
	case a.added <- struct{}{}:
	default:
	}
}

// take removes and returns the engines that were added.
func (a *announcer) take() (engines []string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for engine := range a.engines {
		engines = append(engines, engine)
	}
	clear(a.engines)
	return engines
}

// announceCrashes announces crashes until the context ends.
func (k *Keeper) announceCrashes(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-k.announcer.added:
		}
		if pause.For(ctx, announceDelay) != nil {
			return
		}
		for _, engine := range k.announcer.take() {
			if err := k.announce(engine); err != nil {
				k.config.Log.WithError(err).Warn("cannot announce a crash")
			}
		}
	}
}

// announce announces what this instance saw of the crash of an engine.
func (k *Keeper) announce(engine string) (err error) {
	defer errors.DeferredAnnotatef(&err, "announce crash")
	if k.config.Announce == nil {
		return nil
	}
	k.mu.Lock()
	evidence := k.finder.CrashOf(engine)
	k.mu.Unlock()
	for _, told := range evidence {
		content, err := told.Encode()
		if err != nil {
			return err
		}
		k.config.Announce(content)
		metrics.GetOrRegisterCounter("quarantine.announced", k.config.Metrics).Inc(1)
	}
	return nil
}

// Announced records what another instance announced, and returns the engines that have crashed by that. It ignores content that is
// not valid.
func (k *Keeper) Announced(from string, content []byte) (crashed []backend.Server) {
	evidence, err := poison.DecodeEvidence(content)
	if err != nil {
		k.config.Log.WithError(err).Debug("announcement ignored")
		return nil
	}
	metrics.GetOrRegisterCounter("quarantine.heard", k.config.Metrics).Inc(1)
	k.mu.Lock()
	defer k.mu.Unlock()
	k.finder.Heard(time.Now(), from, evidence)
	k.withdrawBlocked()
	return k.listed(evidence.Engines())
}

// listed returns the servers of the newest snapshot that are the given incarnations.
func (k *Keeper) listed(incarnations map[string]bool) (servers []backend.Server) {
	for _, service := range k.config.Snapshot().Servers {
		for _, server := range service {
			if incarnations[incarnation(server)] {
				servers = append(servers, server)
			}
		}
	}
	return servers
}
