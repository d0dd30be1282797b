package process

import (
	"context"
	"crypto/rand"
	"net/http"
	"os"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/admin"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/configsync"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/link"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/membership"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/control/probe"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/peer"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/runclock"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/settings"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/admission"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/chooser"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/claims"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/completion"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/dispatch"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/entry"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/relay"
	"github.com/comfreyrail/comfreyrail/comfreyrail/internal/traffic/retries"
	"github.com/comfreyrail/comfreyrail/rail/claim"
	"github.com/comfreyrail/comfreyrail/rail/invariant"
	"github.com/comfreyrail/comfreyrail/rail/kv"
	"github.com/comfreyrail/comfreyrail/rail/limit"
	"github.com/comfreyrail/comfreyrail/rail/member"
)

// maxIdlePerServer is the maximum number of idle connections to each backend server.
const maxIdlePerServer = 64

func provideLog(loaded settings.Settings) (*logrus.Entry, error) {
	level, err := logrus.ParseLevel(loaded.Log.Level)
	if err != nil {
		return nil, err
	}
	logger := logrus.New()
	logger.SetOutput(os.Stderr)
	logger.SetLevel(level)
	logger.SetFormatter(&logrus.JSONFormatter{TimestampFormat: time.RFC3339Nano})
	return logger.WithFields(logrus.Fields{"instance": loaded.Name, "zone": loaded.Zone}), nil
}

func provideMetrics() metrics.Registry { return metrics.NewRegistry() }

// provideHTTPClient returns a client that connects directly to the address of a request. It uses no proxy from the environment and
// follows no redirects.
func provideHTTPClient() *http.Client {
	return &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: maxIdlePerServer, DisableCompression: true, MaxResponseHeaderBytes: limit.HeadBytes},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}

func provideRunClock() *runclock.Clock { return runclock.New(runclock.Config{}) }

func provideChecker(log *logrus.Entry, registry metrics.Registry) *invariant.Checker {
	return &invariant.Checker{Report: func(violation *invariant.Violation) {
		metrics.GetOrRegisterCounter("invariant."+violation.Name, registry).Inc(1)
		log.WithField("invariant", violation.Name).Error(violation.Detail)
	}}
}

func provideStore(loaded settings.Settings) *kv.Client {
	return &kv.Client{Address: loaded.Platform.Address, HTTP: provideHTTPClient()}
}

func provideControl(loaded settings.Settings, log *logrus.Entry, checker *invariant.Checker) *control.Control {
	return control.New(control.Config{
		Log: log, Checker: checker, Observer: rand.Text(), ListLag: time.Duration(loaded.InstanceList.MaxLag),
	})
}

func provideConfigSync(store *kv.Client, state *control.Control, log *logrus.Entry, registry metrics.Registry) *configsync.Sync {
	return configsync.New(configsync.Config{Store: store, Control: state, Log: log, Metrics: registry})
}

func provideIdentity(loaded settings.Settings) (peer.Identity, error) {
	return peer.NewIdentity(loaded.Name, loaded.Peer.Secret)
}

// provideSelf returns the record of this incarnation.
func provideSelf(loaded settings.Settings, identity peer.Identity) member.Member {
	return member.Member{
		Name: loaded.Name, Zone: loaded.Zone, Incarnation: rand.Text(),
		Address: loaded.Peer.Listen, Fingerprint: identity.Fingerprint,
	}
}

func provideMembership(self member.Member, store *kv.Client, state *control.Control, runClock *runclock.Clock, log *logrus.Entry) *membership.Membership {
	return membership.New(membership.Config{Self: self, Store: store, Control: state, Clock: runClock, Log: log})
}

func providePeerTransport(loaded settings.Settings, identity peer.Identity, members *membership.Membership, log *logrus.Entry) *peer.Transport {
	return peer.New(peer.Config{Listen: loaded.Peer.Listen, Identity: identity, Resolve: members.Resolve, Secret: loaded.Peer.Secret, Log: log})
}

func provideLink(loaded settings.Settings, state *control.Control, sync *configsync.Sync, members *membership.Membership, transport *peer.Transport) *link.Link {
	return link.New(link.Config{Control: state, Sync: sync, Membership: members, Transport: transport, Seeds: loaded.Peer.Seeds})
}

func provideProber(state *control.Control, client *http.Client, runClock *runclock.Clock) *probe.Prober {
	return probe.New(probe.Config{Control: state, HTTP: client, Clock: runClock})
}

func provideLister(store *kv.Client, state *control.Control, log *logrus.Entry) *probe.Lister {
	return probe.NewLister(probe.ListerConfig{Store: store, Control: state, Log: log})
}

func provideCompletionRunner(loaded settings.Settings, state *control.Control, client *http.Client, servers *chooser.Chooser, budgets *retries.Budgets, runClock *runclock.Clock, checker *invariant.Checker, registry metrics.Registry, log *logrus.Entry) *completion.Runner {
	return completion.New(completion.Config{
		Control: state, HTTP: client, Log: log, Zone: loaded.Zone, Checker: checker, Metrics: registry,
		ChooseChain: servers.ChooseChain, Track: servers.Track, TakeRetry: budgets.Allow, Clock: runClock,
	})
}

func provideDispatcher(state *control.Control, checker *invariant.Checker) *dispatch.Dispatcher {
	return dispatch.New(dispatch.Config{Checker: checker, OnRefused: state.ReportRefusal, OnServed: state.RecordServed})
}

func provideClaims(self member.Member, store *kv.Client, state *control.Control, transport *peer.Transport, checker *invariant.Checker, log *logrus.Entry) *claims.Claims {
	keyClaims := claims.New(claims.Config{
		Owner: self.Incarnation, Store: store, Checker: checker, Log: log,
		Members: func() []member.Member { return state.Snapshot().Members() },
		QueryOwner: func(ctx context.Context, owner member.Member, query claims.StatusQuery) (status claim.Status, err error) {
			err = transport.Call(ctx, owner, claims.KindStatusQuery, query, &status)
			return status, err
		},
	})
	transport.Handle(claims.KindStatusQuery, keyClaims.ServePeer)
	return keyClaims
}

func provideRelay(state *control.Control, dispatcher *dispatch.Dispatcher, keyClaims *claims.Claims, servers *chooser.Chooser, budgets *retries.Budgets, transport *peer.Transport) *relay.Relay {
	requestRelay := relay.New(relay.Config{
		Control: state, Dispatcher: dispatcher, Claims: keyClaims, ChooseServer: servers.ChooseServer, TakeRetry: budgets.Allow,
		Forward: func(ctx context.Context, to member.Member, forwarded relay.ForwardedRequest) (reply relay.ForwardedResponse, err error) {
			err = transport.Call(ctx, to, relay.KindForward, forwarded, &reply)
			return reply, err
		},
	})
	transport.Handle(relay.KindForward, requestRelay.ServePeer)
	return requestRelay
}

func provideCallerServer(loaded settings.Settings, state *control.Control, runner *completion.Runner, requestRelay *relay.Relay, admitter *admission.Admission, budgets *retries.Budgets, members *membership.Membership, checker *invariant.Checker, log *logrus.Entry, registry metrics.Registry) *entry.CallerServer {
	return entry.New(entry.Config{
		Settings: loaded.Caller, Control: state, Completions: runner, Relay: requestRelay, Admission: admitter, Retries: budgets, Log: log, Metrics: registry,
		Checker: checker, Stop: loaded.Stop, ReleaseLease: members.Stop,
	})
}

func provideAdminServer(loaded settings.Settings, state *control.Control, sync *configsync.Sync, members *membership.Membership, registry metrics.Registry) *admin.Server {
	return admin.New(admin.Config{Settings: loaded.Admin, Control: state, Sync: sync, Metrics: registry, Members: members.MemberGenerations})
}
