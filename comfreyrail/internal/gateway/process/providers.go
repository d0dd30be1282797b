package process

import (
	"net"
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/clock"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/duty"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/mirror"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/usage"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/logs"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/platform"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Times and counts of connections.
const (
	// dialTimeout is the longest time to open a connection within the deployment.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long a connection to the store is kept without a call.
	idleTimeout = 10 * time.Second
	// storeConnections is the number of idle connections kept to the store.
	storeConnections = 4
	// peerConnections is the number of idle connections kept to another instance.
	peerConnections = 1
)

// confirmPart is the part of the time for removing a key during which the configuration holds without the store's word.
const confirmPart = 0.8

// confirmWithin returns how long requests with keys are served without the store's word.
func confirmWithin(loaded settings.Gateway) time.Duration {
	return time.Duration(float64(loaded.ConfigDelays.MaxRevocationDelay) * confirmPart)
}

func provideLog(loaded settings.Gateway) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(logs.NewWriter(os.Stdout))
	logger.SetLevel(level)
	logger.SetFormatter(&logs.RateLimitedFormatter{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Now: time.Now})
	return logger.WithFields(logrus.Fields{"instance": loaded.Name}), nil
}

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

func provideChecker(log *logrus.Entry, registry metrics.Registry) *invariant.Checker {
	return &invariant.Checker{Report: func(violation *invariant.Violation) {
		metrics.GetOrRegisterCounter("invariant."+violation.Name, registry).Inc(1)
		log.WithField("invariant", violation.Name).Error(violation.Detail)
	}}
}

// newHTTP returns a client that goes straight to the address and keeps so many idle connections.
func newHTTP(idle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: (&net.Dialer{Timeout: dialTimeout}).DialContext, MaxIdleConnsPerHost: idle, IdleConnTimeout: idleTimeout,
			DisableCompression: true, DisableKeepAlives: idle == 0,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func provideStore(loaded settings.Gateway) *platform.Store {
	return &platform.Store{Address: loaded.Store.Address, HTTP: newHTTP(storeConnections)}
}

func provideEngines() *platform.Engines { return &platform.Engines{HTTP: newHTTP(0)} }

func provideSelf(loaded settings.Gateway) catalog.Instance {
	return catalog.Instance{Name: loaded.Name, Zone: loaded.Zone, PeerAddress: loaded.Listen.Peer}
}

func provideMirror(loaded settings.Gateway, known *catalog.Catalog, log *logrus.Entry) *mirror.Server {
	return mirror.New(mirror.Config{Listen: loaded.Listen.Peer, Changes: known.Changes, Log: log})
}

func provideCatalog(loaded settings.Gateway, self catalog.Instance, store *platform.Store, log *logrus.Entry) *catalog.Catalog {
	return catalog.New(catalog.Config{
		Range: store.Range, Watch: store.Watch, FetchChanges: mirror.NewClient(newHTTP(peerConnections)).Changes, Self: self, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		ServerID: platform.ServerID, DecodeServer: platform.DecodeServer, WatchInterval: time.Duration(loaded.Store.WatchInterval),
		Elapsed: clock.Elapsed, Log: log,
	})
}

func provideLease(self catalog.Instance, store *platform.Store, log *logrus.Entry) *duty.Lease {
	return duty.NewLease(duty.LeaseConfig{
		Self: self, Grant: store.Grant, Renew: store.Renew, Revoke: store.Revoke, Commit: store.Commit, Elapsed: clock.Elapsed, Log: log,
	})
}

func providePlacer(loaded settings.Gateway, known *catalog.Catalog, lease *duty.Lease, store *platform.Store, engines *platform.Engines, log *logrus.Entry) *duty.Placer {
	return duty.NewPlacer(duty.PlacerConfig{
		Name: loaded.Name, Catalog: known, Lease: lease, Commit: store.Commit, OrderLoad: engines.Place,
		FetchState: engines.FetchState,
		Refused: func(err error) bool {
			return errors.Is(err, platform.ErrStateChanged) || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrInvalid)
		},
		Log: log,
	})
}

func provideUpstream(registry metrics.Registry) *upstream.Pool {
	opened := metrics.GetOrRegisterCounter("upstream.opened", registry)
	return upstream.New(upstream.Config{DialTimeout: dialTimeout, Opened: func() { opened.Inc(1) }})
}

func provideBudgets(loaded settings.Gateway, known *catalog.Catalog) *forward.Budgets {
	return forward.NewBudgets(forward.BudgetConfig{
		Window: retry.WindowConfig{
			Ratio: loaded.RetryBudget.Ratio, Burst: loaded.RetryBudget.Burst, Period: time.Duration(loaded.RetryBudget.Window),
		},
		Instances: func() int { return len(known.Snapshot().Instances) },
	})
}

func provideForwarder(loaded settings.Gateway, known *catalog.Catalog, others *hearing, pool *upstream.Pool, engines *platform.Engines, budgets *forward.Budgets, log *logrus.Entry, registry metrics.Registry) *forward.Forwarder {
	return forward.New(forward.Config{
		Catalog: known, Upstream: pool, PeerUsage: others.Others, Zone: loaded.Zone, Retries: budgets, Log: log, Metrics: registry,
		MaxConfigAge: confirmWithin(loaded), StaleAfter: time.Duration(loaded.ConfigDelays.MaxApplyDelay),
		ReadRequest: platform.ReadRequest, WriteBackendRequest: platform.WriteBackendRequest, ReadResponse: platform.ReadResponse,
		Reroute: engines.Reroute, FetchState: engines.FetchState,
	})
}

// hearing passes on what other instances told; the Exchange that hears them needs the Forwarder first.
type hearing struct{ share *usage.Exchange }

// Others returns the work of the other instances at engines.
func (h *hearing) Others(now time.Time) func(id string) (use pipeline.Usage, known bool) {
	return h.share.PeerUsage(now)
}

func provideHearing() *hearing { return &hearing{} }

func provideShare(loaded settings.Gateway, known *catalog.Catalog, forwarder *forward.Forwarder, heard *hearing, log *logrus.Entry) *usage.Exchange {
	heard.share = usage.New(usage.Config{
		Name: loaded.Name, Zone: loaded.Zone, Listen: loaded.Listen.Peer, Usage: forwarder.Usage, Log: log,
		Peers: func() (peers []usage.Peer) {
			for _, instance := range known.Snapshot().Instances {
				if instance.PeerAddress != loaded.Listen.Peer {
					peers = append(peers, usage.Peer{Address: instance.PeerAddress, Zone: instance.Zone})
				}
			}
			return peers
		},
	})
	return heard.share
}

func provideOperate(loaded settings.Gateway, entry *CallerServer, known *catalog.Catalog, registry metrics.Registry, log *logrus.Entry) *OperatorServer {
	return &OperatorServer{
		Listen: loaded.Listen.Ready, ReadyPath: platform.ReadyPath, Ready: entry.Ready, Metrics: registry, Catalog: known, Log: log,
	}
}
