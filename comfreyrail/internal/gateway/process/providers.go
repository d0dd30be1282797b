package process

import (
	"net/http"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/catalog"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/clock"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/forward"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/mirror"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/notices"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/placer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/quarantine"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/upstream"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/gateway/usage"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/logs"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/platform"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/pipeline"
	"github.com/comfreyrail/comfreyrail/rail/retry"
)

// Timeouts and limits of connections.
const (
	// dialTimeout is the timeout of opening a connection to the store, a backend server or another instance.
	dialTimeout = 400 * time.Millisecond
	// idleTimeout is how long an idle connection to the store or another instance is kept.
	idleTimeout = 10 * time.Second
	// maxIdleStoreConns is the maximum number of idle connections to the store.
	maxIdleStoreConns = 4
	// maxIdlePeerConns is the maximum number of idle connections to another instance.
	maxIdlePeerConns = 1
)

// configAgeFraction is the ratio of maxConfigAge to the maximum revocation delay of a key.
const configAgeFraction = 0.8

// maxConfigAge returns how long requests with API keys are served after the store last confirmed the configuration.
func maxConfigAge(cfg settings.Gateway) time.Duration {
	return time.Duration(float64(cfg.ConfigDelays.MaxRevocationDelay) * configAgeFraction)
}

// Memory for what callers and backend servers send, beyond the limit.FreeBytes of each request and response.
const (
	// requestMemoryFraction is the fraction of the memory limit for request bodies.
	requestMemoryFraction = 1.0 / 16
	// responseMemoryFraction is the fraction of the memory limit for responses, their headers and events.
	responseMemoryFraction = 1.0 / 128
	// defaultMemoryMB is the memory in megabytes of which these are fractions if the settings set no limit.
	defaultMemoryMB = 512
	// megabyte is the number of bytes in a megabyte of the settings.
	megabyte = 1 << 20
)

// memoryBudgets bounds the memory for the requests and responses in progress.
type memoryBudgets struct{ requests, responses *limit.Budget }

func provideMemoryBudgets(cfg settings.Gateway) memoryBudgets {
	megabytes := cfg.Memory.LimitMB
	if megabytes <= 0 {
		megabytes = defaultMemoryMB
	}
	total := float64(megabytes) * megabyte
	return memoryBudgets{
		requests: limit.NewBudget(int64(total * requestMemoryFraction)), responses: limit.NewBudget(int64(total * responseMemoryFraction)),
	}
}

func provideLog(cfg settings.Gateway) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(cfg.Log.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(logs.NewWriter(os.Stdout))
	logger.SetLevel(level)
	logger.SetFormatter(&logs.RateLimitedFormatter{Formatter: &logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano}, Now: time.Now})
	return logger.WithFields(logrus.Fields{"instance": cfg.Name}), nil
}

func provideRunClock() *runclock.Clock { return runclock.New(runclock.Config{}) }

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

func provideChecker(log *logrus.Entry, registry metrics.Registry) *invariant.Checker {
	return &invariant.Checker{Report: func(violation *invariant.Violation) {
		metrics.GetOrRegisterCounter("invariant."+violation.Name, registry).Inc(1)
		log.WithField("invariant", violation.Name).Error(violation.Detail)
	}}
}

// newHTTPClient returns a client that uses no proxy, follows no redirects and keeps up to maxIdle idle connections to each
// host.
func newHTTPClient(runClock *runclock.Clock, maxIdle int) *http.Client {
	return &http.Client{
		Transport: &http.Transport{
			DialContext: runClock.Dialer(dialTimeout), MaxIdleConnsPerHost: maxIdle, IdleConnTimeout: idleTimeout,
			DisableCompression: true, DisableKeepAlives: maxIdle == 0, MaxResponseHeaderBytes: limit.HeadBytes,
		},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func provideStore(cfg settings.Gateway, runClock *runclock.Clock) *platform.Store {
	return &platform.Store{Address: cfg.Store.Address, HTTP: newHTTPClient(runClock, maxIdleStoreConns)}
}

func provideEngines(noticeKeeper *notices.Keeper, runClock *runclock.Clock) *platform.Engines {
	return &platform.Engines{HTTP: newHTTPClient(runClock, 0), Responded: noticeKeeper.Received}
}

func provideNotices(cat *catalog.Catalog, log *logrus.Entry, registry metrics.Registry) *notices.Keeper {
	return notices.New(notices.Config{Snapshot: cat.Snapshot, Metrics: registry, Log: log})
}

func provideSelf(cfg settings.Gateway) catalog.Instance {
	return catalog.Instance{Name: cfg.Name, Zone: cfg.Zone, PeerAddress: cfg.Listen.Peer}
}

func provideMirror(cfg settings.Gateway, cat *catalog.Catalog, log *logrus.Entry) *mirror.Server {
	return mirror.New(mirror.Config{Listen: cfg.Listen.Peer, Changes: cat.Changes, Log: log})
}

func provideCatalog(cfg settings.Gateway, self catalog.Instance, store *platform.Store, runClock *runclock.Clock, log *logrus.Entry, registry metrics.Registry) *catalog.Catalog {
	return catalog.New(catalog.Config{
		Range: store.Range, Get: store.Get, Watch: store.Watch, FetchChanges: mirror.NewClient(newHTTPClient(runClock, maxIdlePeerConns)).FetchChanges,
		Self: self, ConfigKey: platform.ConfigKey, DecodeConfig: platform.DecodeConfig,
		ServerID: platform.ServerID, DecodeServer: platform.DecodeServer, WatchInterval: time.Duration(cfg.Store.WatchInterval),
		Elapsed: clock.Monotonic, Clock: runClock, Log: log, Metrics: registry,
	})
}

func provideLeaseConfig(cat *catalog.Catalog, store *platform.Store, runClock *runclock.Clock, log *logrus.Entry) placer.LeaseConfig {
	return placer.LeaseConfig{
		Grant: store.Grant, Renew: store.Renew, Revoke: store.Revoke, Commit: store.Commit,
		Era: func() uint64 { return cat.Snapshot().Era }, Elapsed: clock.Monotonic, Clock: runClock, Log: log,
	}
}

func providePlacer(cfg settings.Gateway, cat *catalog.Catalog, lease placer.LeaseConfig, engines *platform.Engines, noticeKeeper *notices.Keeper, forwarder *forward.Forwarder, log *logrus.Entry) *placer.Placer {
	return placer.NewPlacer(placer.Config{
		Name: cfg.Name, Catalog: cat, Lease: lease, OrderLoad: engines.OrderLoad,
		FetchState: engines.FetchState, Leaving: noticeKeeper.Leaving, Waiting: noticeKeeper.Waiting, Lost: forwarder.EngineLost,
		Refused: func(err error) bool {
			return errors.Is(err, platform.ErrStateChanged) || errors.Is(err, platform.ErrNotFound) || errors.Is(err, platform.ErrInvalid)
		},
		Log: log,
	})
}

func provideUpstream(memory memoryBudgets, runClock *runclock.Clock, registry metrics.Registry) *upstream.Client {
	opened := metrics.GetOrRegisterCounter("upstream.opened", registry)
	return upstream.New(upstream.Config{DialTimeout: dialTimeout, Clock: runClock, Budget: memory.responses, Opened: func() { opened.Inc(1) }})
}

func provideBudgets(cfg settings.Gateway, cat *catalog.Catalog) *forward.Budgets {
	return forward.NewBudgets(forward.BudgetConfig{
		Window: retry.WindowBudgetConfig{
			Ratio: cfg.RetryBudget.Ratio, Burst: cfg.RetryBudget.Burst, Period: time.Duration(cfg.RetryBudget.Period),
		},
		Instances: func() int { return len(cat.Snapshot().Instances) },
	})
}

func provideForwarder(cfg settings.Gateway, cat *catalog.Catalog, usages *peerUsage, quarantineKeeper *quarantine.Keeper, noticeKeeper *notices.Keeper, client *upstream.Client, engines *platform.Engines, budgets *forward.Budgets, memory memoryBudgets, runClock *runclock.Clock, log *logrus.Entry, registry metrics.Registry) *forward.Forwarder {
	return forward.New(forward.Config{
		Catalog: cat, Upstream: client, PeerUsage: usages.PeerUsage, Zone: cfg.Zone, Retries: budgets, Log: log, Metrics: registry,
		MaxConfigAge: maxConfigAge(cfg), MaxApplyDelay: time.Duration(cfg.ConfigDelays.MaxApplyDelay),
		ReadRequest: platform.ReadRequest, WriteBackendRequest: platform.WriteBackendRequest, ReadResponse: platform.ReadResponse,
		Reroute: engines.Reroute, FetchState: engines.FetchState, RequestMemory: memory.requests, ResponseMemory: memory.responses,
		RequestBlocked: quarantineKeeper.Blocked, RequestWaiting: quarantineKeeper.Waiting, PromptBegan: quarantineKeeper.Began, RequestAnswered: quarantineKeeper.Answered, ConnectionEnded: quarantineKeeper.ConnectionEnded,
		Notices: noticeKeeper, Clock: runClock,
	})
}

func provideQuarantine(cfg settings.Gateway, cat *catalog.Catalog, store *platform.Store, engines *platform.Engines, usages *peerUsage, runClock *runclock.Clock, log *logrus.Entry, registry metrics.Registry) *quarantine.Keeper {
	return quarantine.New(quarantine.Config{
		Name: cfg.Name, Snapshot: cat.Snapshot, FetchState: engines.FetchState, Grant: store.Grant, Commit: store.Commit, Announce: usages.Announce,
		Clock: runClock, Metrics: registry, Log: log,
	})
}

// peerUsage gives the Forwarder and the quarantine access to the Exchange, which is created later because it needs them itself.
type peerUsage struct{ exchange *usage.Exchange }

// PeerUsage returns a function that estimates the usage of an engine or link by the other instances.
func (p *peerUsage) PeerUsage(now time.Time) func(id string) (use pipeline.Usage, known bool) {
	return p.exchange.PeerUsage(now)
}

// Announce sends the content to other instances.
func (p *peerUsage) Announce(content []byte) { p.exchange.Announce(content) }

func providePeerUsage() *peerUsage { return &peerUsage{} }

func provideExchange(cfg settings.Gateway, cat *catalog.Catalog, forwarder *forward.Forwarder, quarantineKeeper *quarantine.Keeper, usages *peerUsage, log *logrus.Entry) *usage.Exchange {
	usages.exchange = usage.New(usage.Config{
		Name: cfg.Name, Zone: cfg.Zone, Listen: cfg.Listen.Peer, Usage: forwarder.Usage, Log: log,
		Announced: func(from string, content []byte) { forwarder.EnginesCrashed(quarantineKeeper.Announced(from, content)) },
		Peers: func() (peers []usage.Peer) {
			for _, instance := range cat.Snapshot().Instances {
				if instance.PeerAddress != cfg.Listen.Peer {
					peers = append(peers, usage.Peer{Address: instance.PeerAddress, Zone: instance.Zone})
				}
			}
			return peers
		},
	})
	return usages.exchange
}

func provideOperatorServer(cfg settings.Gateway, callerServer *CallerServer, cat *catalog.Catalog, registry metrics.Registry, log *logrus.Entry) *OperatorServer {
	return &OperatorServer{
		Listen: cfg.Listen.Ready, ReadyPath: platform.ReadyPath, Ready: callerServer.Ready, Metrics: registry, Catalog: cat, Log: log,
	}
}
